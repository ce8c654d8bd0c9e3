#pragma once

#include <functional>
#include <mutex>
#include <optional>

#include "settings.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/gateway/snapshot_holder.h"
#include "tamarackwing/gateway/token_budget.h"
#include "tamarackwing/policy/rate_holder.h"

namespace tamarackwing::daemon {

//! Token budgets of the workspaces' rates. The hosts with disks hold leases of
//! the rates, and each keeps the buckets of some workspaces for the entry hosts
//! of its region, which ask it for the tokens of each request: one entry host
//! of many sees too few requests of a workspace to hold a useful part of its
//! rate. While no keeper replies, an entry host admits what its static share
//! permits. Shared by the traffic threads and the control thread. Thread
//! safety: every method is callable from any thread.
class LeasedRateBudget final : public gateway::TokenBudget {
 public:
  //! Called with the keeper's reply; nullopt if none came in time.
  using ReplyCallback = std::function<void(std::optional<policy::TokenReply>)>;
  //! Functions that reach the keeper of a workspace's bucket.
  struct Keepers {
    std::function<void(const policy::TokenRequest&, ReplyCallback)> ask;
    std::function<void(const policy::TokenReturn&)> give_back;
  };

  //! Preconditions: `clock` and `snapshots` outlive the budget; `clock` also
  //! counts the time during which the host was suspended.
  LeasedRateBudget(const Clock& clock,
                   gateway::SnapshotHolder& snapshots,
                   policy::RateLeaseOptions options,
                   RateTolerance tolerance);

  //! Precondition: called before the first reservation. Without it, this host
  //! has only its static shares.
  void SetKeepers(Keepers functions);
  void Reserve(const WorkspaceName& workspace,
               TokenCount tokens,
               Callback callback) override;
  void Settle(const WorkspaceName& workspace,
              std::uint64_t reservation,
              TokenCount used) override;

  //! Takes the tokens of another host's request, or of one of this host, from
  //! the bucket that this host keeps.
  policy::TokenReply HandleRequest(const policy::TokenRequest& request);
  void HandleReturn(const policy::TokenReturn& returned);

  //! Applies a tolerance to all later reservations.
  void SetTolerance(RateTolerance next);
  //! Makes the next report to the leader.
  policy::RateReport MakeReport();
  //! Ignores the leader's replies to reports that were made before this call.
  void ForgetPendingReports();
  //! Applies the leader's reply to a report.
  void Accept(const policy::RateGrant& grant);

 private:
  gateway::BudgetAnswer TakeOwn(const state::Snapshot& snapshot,
                                const state::Workspace& workspace,
                                TokenCount tokens);

  const Clock& clock;
  gateway::SnapshotHolder& snapshots;
  std::mutex mutex;
  RateTolerance tolerance;
  Keepers keepers;
  //! The buckets that this host keeps for its region.
  policy::RateHolder kept;
  //! The static shares of this host alone.
  policy::RateHolder own;
};

}  // namespace tamarackwing::daemon
