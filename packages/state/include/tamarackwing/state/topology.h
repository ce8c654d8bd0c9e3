#pragma once

#include <set>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

//! What the check of a set needs to know of the hosts.
struct Topology {
  std::set<RegionName> regions;
  //! Regions with a host that has a disk.
  std::set<RegionName> disk_regions;
};

}  // namespace tamarackwing::state
