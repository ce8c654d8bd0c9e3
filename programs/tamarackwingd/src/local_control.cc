#include "local_control.h"

namespace tamarackwing::daemon {

LocalBudget::LocalBudget(const Clock& clock, gateway::SnapshotHolder& snapshots)
    : clock(clock), snapshots(snapshots) {}

void LocalBudget::Reserve(const WorkspaceName& workspace,
                          TokenCount tokens,
                          Callback callback) {
  const auto snapshot = this->snapshots.Get();
  const auto found = snapshot->set->workspaces.find(workspace);
  gateway::BudgetAnswer answer;
  if (found != snapshot->set->workspaces.end()) {
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.Now();
    auto [place, is_new] = this->buckets.try_emplace(
        workspace, found->second.rate, found->second.burst, now);
    policy::TokenBucket& bucket = place->second;
    if (is_new) {
      bucket.Return(found->second.burst);
    }
    answer.retry_after = bucket.TimeUntil(tokens, now);
    answer.granted = bucket.Level(now) >= tokens;
    answer.reservation = 1;
    if (answer.granted) {
      bucket.Take(tokens, now);
    }
  }
  callback(answer);
}

void LocalBudget::Settle(const WorkspaceName&, std::uint64_t, TokenCount) {}

void NoPermits::Ask(const RegionName&, const OperationId&, Callback callback) {
  callback(gateway::Permit());
}

std::vector<gateway::ForwardTarget> NoRegions::Candidates(const std::string&) {
  return {};
}

}  // namespace tamarackwing::daemon
