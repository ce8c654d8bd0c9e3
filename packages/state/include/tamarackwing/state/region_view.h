#pragma once

#include <cstdint>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

//! A host of a region's view, as it was when the view was agreed.
struct ViewMember {
  HostName host;
  std::uint64_t incarnation = 0;
  bool has_disk = false;

  friend bool operator==(const ViewMember&, const ViewMember&) = default;
};

//! The hosts that keep a region's ledger, and the one that coordinates it and
//! gives out the region's tokens. Changed by the agreed log alone.
struct RegionView {
  RegionName region;
  std::uint64_t epoch = 0;
  //! The last epoch that may have granted permits: a coordinator must hold a
  //! copy of this one or a later one.
  std::uint64_t base_epoch = 0;
  HostName coordinator;
  std::vector<ViewMember> members;

  friend bool operator==(const RegionView&, const RegionView&) = default;
};

}  // namespace tamarackwing::state
