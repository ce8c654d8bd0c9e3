#pragma once

#include <mutex>

#include "settings.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/gateway/snapshot_holder.h"
#include "tamarackwing/gateway/token_budget.h"
#include "tamarackwing/policy/rate_holder.h"

namespace tamarackwing::daemon {

//! Token budgets fed by the static shares and leases that this host has of the
//! workspaces' rates; shared by the traffic threads and the control thread.
//! Thread safety: every method is callable from any thread.
class LeasedRateBudget final : public gateway::TokenBudget {
 public:
  //! Preconditions: `clock` and `snapshots` outlive the budget; `clock` also
  //! counts the time during which the host was suspended.
  LeasedRateBudget(const Clock& clock,
                   gateway::SnapshotHolder& snapshots,
                   policy::RateLeaseOptions options,
                   RateTolerance tolerance);

  void Reserve(const WorkspaceName& workspace,
               TokenCount tokens,
               Callback callback) override;
  void Settle(const WorkspaceName& workspace,
              std::uint64_t reservation,
              TokenCount used) override;

  //! Applies a tolerance to all later reservations.
  void SetTolerance(RateTolerance next);
  //! Makes the next report to the leader.
  policy::RateReport MakeReport();
  //! Ignores the leader's replies to reports that were made before this call.
  void ForgetPendingReports();
  //! Applies the leader's reply to a report.
  void Accept(const policy::RateGrant& grant);

 private:
  const Clock& clock;
  gateway::SnapshotHolder& snapshots;
  std::mutex mutex;
  RateTolerance tolerance;
  policy::RateHolder holder;
};

}  // namespace tamarackwing::daemon
