#pragma once

#include <mutex>

#include "settings.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/gateway/snapshot_holder.h"
#include "tamarackwing/gateway/token_budget.h"
#include "tamarackwing/policy/rate_holder.h"

namespace tamarackwing::daemon {

//! The host's leased rates, shared by the traffic threads and the control
//! thread. Thread safety: every method is callable from any thread.
class LeasedRateBudget final : public gateway::TokenBudget {
 public:
  //! Preconditions: `clock`, which must count suspended time, and `snapshots`
  //! outlive the desk.
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

  //! Goes by another tolerance from now on.
  void SetTolerance(RateTolerance next);
  //! The next report to the leader.
  policy::RateReport MakeReport();
  //! Takes no more answers to reports that were made before now.
  void ForgetPendingReports();
  //! Takes the leader's answer.
  void Accept(const policy::RateGrant& grant);

 private:
  const Clock& clock;
  gateway::SnapshotHolder& snapshots;
  std::mutex mutex;
  RateTolerance tolerance;
  policy::RateHolder holder;
};

}  // namespace tamarackwing::daemon
