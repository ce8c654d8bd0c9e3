#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "settings.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/gateway/snapshot_holder.h"
#include "tamarackwing/gateway/token_budget.h"
#include "tamarackwing/policy/rate_holder.h"
#include "tamarackwing/policy/token_inquiry.h"

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
  //! Called with the decision, and what each keeper said, for logs.
  using DecisionCallback =
      std::function<void(const policy::TokenDecision&, std::string)>;
  //! Functions that reach the keepers of a workspace's buckets.
  struct Keepers {
    std::function<void(const policy::TokenRequest&, ReplyCallback)> ask;
    //! Returns tokens to a keeper; an empty name means the region's.
    std::function<void(const policy::TokenReturn&, const HostName&)> give_back;
    //! Runs a policy::TokenInquiry, until the given time at the latest. Null if
    //! only the region's keeper is to be asked.
    std::function<
        void(const policy::TokenRequest&, TimePoint, DecisionCallback)>
        inquire;
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
               TimePoint latest,
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
  //! Returns whether a report is due before the next regular one.
  bool NeedsEarlyReport();
  //! Makes a report between two regular ones.
  policy::RateReport MakeEarlyReport();
  //! Ignores the leader's replies to reports that were made before this call.
  void ForgetPendingReports();
  //! Applies the leader's reply to a report.
  void Accept(const policy::RateGrant& grant);

 private:
  //! Asks the keepers of several regions. Precondition: `limits` belongs to
  //! `snapshot`.
  void Inquire(std::shared_ptr<const state::Snapshot> snapshot,
               const state::Workspace& limits,
               TokenCount tokens,
               TimePoint latest,
               Callback callback);
  gateway::BudgetAnswer ApplyDecision(const state::Snapshot& snapshot,
                                      const state::Workspace& limits,
                                      TokenCount tokens,
                                      const policy::TokenDecision& decision);
  //! Returns a reservation of tokens that a keeper granted.
  std::uint64_t KeptReservation(TokenCount tokens, const HostName& keeper);
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
  //! Refusals by the keepers of all regions.
  policy::RefusedWorkspaces refused;
  //! Keepers that have granted tokens; reservations refer to them by position.
  std::vector<HostName> granting;
};

}  // namespace tamarackwing::daemon
