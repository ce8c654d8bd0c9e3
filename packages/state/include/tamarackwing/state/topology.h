#pragma once

#include <set>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

//! Properties of the hosts against which a set is validated.
struct Topology {
  std::set<RegionName> regions;
  //! Regions with at least one host that has a disk.
  std::set<RegionName> disk_regions;
};

}  // namespace tamarackwing::state
