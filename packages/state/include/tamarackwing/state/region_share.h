#pragma once

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

struct Workspace;

//! A region's share of a workspace's token budget.
struct RegionShare {
  //! Tokens per second.
  TokenCount rate = 0;
  //! Tokens.
  TokenCount burst = 0;

  friend bool operator==(const RegionShare&, const RegionShare&) = default;
};

//! Returns a region's share of a workspace's budget: equal for all home
//! regions, zero elsewhere. Thread safety: reentrant.
RegionShare ShareIn(const Workspace& workspace, const RegionName& region);

}  // namespace tamarackwing::state
