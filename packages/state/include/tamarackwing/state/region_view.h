#pragma once

#include <cstdint>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

//! A member of a region's view, as of the time the view was agreed.
struct ViewMember {
  HostName host;
  std::uint64_t incarnation = 0;
  bool has_disk = false;

  friend bool operator==(const ViewMember&, const ViewMember&) = default;
};

//! Membership view of a region: the hosts that replicate its ledger, and the
//! coordinator, which also grants the region's token chunks. Changed only
//! through the agreed log.
struct RegionView {
  RegionName region;
  //! Number of the view; increases by one with each change.
  std::uint64_t epoch = 0;
  //! Latest epoch that may have granted permits. A coordinator must hold a
  //! complete copy of the ledger of this epoch or a later one.
  std::uint64_t base_epoch = 0;
  HostName coordinator;
  std::vector<ViewMember> members;

  friend bool operator==(const RegionView&, const RegionView&) = default;
};

}  // namespace tamarackwing::state
