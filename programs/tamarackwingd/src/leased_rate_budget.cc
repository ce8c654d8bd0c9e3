#include "leased_rate_budget.h"

#include <algorithm>

namespace tamarackwing::daemon {
namespace {

//! Returns the limit of a workspace with the tolerance added to its burst. The
//! sum is halved, because the bursts of all hosts can add up to twice the burst
//! of the limit (see policy::RateLimit).
policy::RateLimit LimitOf(const state::Snapshot& snapshot,
                          const state::Workspace& workspace,
                          const RateTolerance& tolerance) {
  constexpr TokenCount kHundredPercent = 100;
  policy::RateLimit limit;
  limit.rate = workspace.rate;
  const TokenCount span_tokens =
      workspace.rate * tolerance.span.count() + workspace.burst;
  const TokenCount tolerated =
      span_tokens * tolerance.percent / kHundredPercent + tolerance.tokens;
  limit.burst = (workspace.burst + tolerated) / 2;
  limit.hosts = std::max<std::size_t>(1, snapshot.entry_hosts);
  return limit;
}

}  // namespace

LeasedRateBudget::LeasedRateBudget(const Clock& clock,
                                   gateway::SnapshotHolder& snapshots,
                                   policy::RateLeaseOptions options,
                                   RateTolerance tolerance)
    : clock(clock),
      snapshots(snapshots),
      tolerance(tolerance),
      holder(options) {}

void LeasedRateBudget::Reserve(const WorkspaceName& workspace,
                               TokenCount tokens,
                               Callback callback) {
  gateway::BudgetAnswer answer;
  const auto snapshot = this->snapshots.Get();
  const auto found = snapshot->set->workspaces.find(workspace);
  if (found != snapshot->set->workspaces.end()) {
    const std::lock_guard lock(this->mutex);
    const policy::RateLimit limit =
        LimitOf(*snapshot, found->second, this->tolerance);
    const policy::RateDecision decision =
        this->holder.Take(workspace, limit, tokens, this->clock.Now());
    answer.granted = decision.granted;
    answer.retry_after = decision.retry_after;
    answer.host_rate = decision.rate;
    answer.fleet_rate = limit.rate;
    // The number of reserved tokens is the only state of a reservation, so it
    // serves as the identifier.
    answer.reservation = static_cast<std::uint64_t>(tokens);
  }
  callback(answer);
}

void LeasedRateBudget::Settle(const WorkspaceName& workspace,
                              std::uint64_t reservation,
                              TokenCount used) {
  const std::lock_guard lock(this->mutex);
  this->holder.Return(workspace, static_cast<TokenCount>(reservation) - used);
}

void LeasedRateBudget::SetTolerance(RateTolerance next) {
  const std::lock_guard lock(this->mutex);
  this->tolerance = next;
}

policy::RateReport LeasedRateBudget::MakeReport() {
  const std::lock_guard lock(this->mutex);
  return this->holder.MakeReport(this->clock.Now());
}

void LeasedRateBudget::ForgetPendingReports() {
  const std::lock_guard lock(this->mutex);
  this->holder.ForgetPendingReports();
}

void LeasedRateBudget::Accept(const policy::RateGrant& grant) {
  const std::lock_guard lock(this->mutex);
  this->holder.Accept(grant, this->clock.Now());
}

}  // namespace tamarackwing::daemon
