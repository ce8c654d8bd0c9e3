#pragma once

#include <chrono>
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

//! An entry host's request for the tokens of one caller's request, to the host
//! that keeps the workspace's bucket in the region.
struct TokenRequest {
  //! Counts the sender's requests.
  std::uint64_t number = 0;
  WorkspaceName workspace;
  TokenCount tokens = 0;
  //! Whether another keeper was asked for the same tokens before and has
  //! counted them as demand.
  bool is_counted = false;
};

//! The reply to a TokenRequest.
struct TokenReply {
  std::uint64_t number = 0;
  bool granted = false;
  //! Delay after which a retry may succeed; zero if granted.
  std::chrono::milliseconds retry_after{0};
  //! Tokens per second that the bucket gains; zero if its keeper has no lease
  //! and so knows nothing of the workspace's rate.
  TokenCount rate = 0;
};

//! Tokens of a granted request that was not run.
struct TokenReturn {
  WorkspaceName workspace;
  TokenCount tokens = 0;
};

}  // namespace tamarackwing::policy
