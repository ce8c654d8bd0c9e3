#pragma once

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

struct Workspace;

//! A region's part of a workspace's budget.
struct RegionShare {
  //! Tokens a second.
  TokenCount rate = 0;
  TokenCount burst = 0;

  friend bool operator==(const RegionShare&, const RegionShare&) = default;
};

//! A region's part: equal for each home region, none elsewhere.
//! Thread safety: reentrant.
RegionShare ShareIn(const Workspace& workspace, const RegionName& region);

}  // namespace tamarackwing::state
