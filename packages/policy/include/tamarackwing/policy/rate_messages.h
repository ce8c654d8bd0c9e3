#pragma once

#include <cstdint>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! One host's recent demand of a workspace.
struct RateDemand {
  WorkspaceName workspace;
  //! Tokens per second that its callers requested, granted or not.
  TokenCount demand = 0;
  //! Tokens per second that the host holds on lease.
  TokenCount held = 0;
};

//! A host's demands and leases; the reply is a RateGrant.
struct RateReport {
  //! Sequence number of the host's reports.
  std::uint64_t number = 0;
  //! Number of the newest grant that the host has applied.
  std::uint64_t holds = 0;
  std::vector<RateDemand> demands;
};

//! A leased share of a workspace's rate.
struct RateShare {
  WorkspaceName workspace;
  //! Tokens per second.
  TokenCount share = 0;
};

//! The reply to a RateReport; replaces the host's earlier leases of the
//! workspaces that it names.
struct RateGrant {
  //! Number of the report that it replies to.
  std::uint64_t number = 0;
  std::vector<RateShare> shares;
};

}  // namespace tamarackwing::policy
