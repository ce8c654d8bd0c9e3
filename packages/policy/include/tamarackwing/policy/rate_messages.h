#pragma once

#include <cstdint>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! What one host saw of a workspace lately.
struct RateDemand {
  WorkspaceName workspace;
  //! Tokens a second that its callers asked for, granted or not.
  TokenCount demand = 0;
  //! Tokens a second that it holds on lease.
  TokenCount held = 0;
};

//! A host says what it needs; the answer leases it a part of each rate.
struct RateReport {
  //! Counts the host's reports.
  std::uint64_t number = 0;
  //! The newest grant that it goes by.
  std::uint64_t holds = 0;
  std::vector<RateDemand> demands;
};

//! A part of a workspace's rate.
struct RateShare {
  WorkspaceName workspace;
  TokenCount share = 0;
};

//! The answer to a report; it replaces what the host held before.
struct RateGrant {
  //! The report that it answers.
  std::uint64_t number = 0;
  std::vector<RateShare> shares;
};

}  // namespace tamarackwing::policy
