#include "leased_rate_budget.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::daemon {
namespace {

//! Returns the tokens that a workspace may get beyond its rate and burst.
TokenCount ToleratedTokens(const state::Workspace& workspace,
                           const RateTolerance& tolerance) {
  constexpr TokenCount kHundredPercent = 100;
  const TokenCount span_tokens =
      workspace.rate * tolerance.span.count() + workspace.burst;
  return span_tokens * tolerance.percent / kHundredPercent + tolerance.tokens;
}

//! Returns the limit of a bucket that a keeper has: the burst and half of the
//! tolerance. The sum is halved, because the bursts of all keepers can add up
//! to twice the burst of the limit (see policy::RateLimit).
policy::RateLimit KeptLimit(const state::Snapshot& snapshot,
                            const state::Workspace& workspace,
                            const RateTolerance& tolerance) {
  std::size_t keepers = 0;
  for (const auto& [name, host] : *snapshot.hosts) {
    keepers += host.has_disk ? 1 : 0;
  }
  return {workspace.rate,
          (workspace.burst + ToleratedTokens(workspace, tolerance) / 2) / 2,
          std::max<std::size_t>(1, keepers)};
}

//! Returns the limit of an entry host's own bucket: the other half of the
//! tolerance.
policy::RateLimit OwnLimit(const state::Snapshot& snapshot,
                           const state::Workspace& workspace,
                           const RateTolerance& tolerance) {
  return {workspace.rate, ToleratedTokens(workspace, tolerance) / 2,
          std::max<std::size_t>(1, snapshot.entry_hosts)};
}

//! A reservation's only state: its tokens, and whether they are this host's own
//! instead of the keeper's.
std::uint64_t Reservation(TokenCount tokens, bool is_own) {
  return static_cast<std::uint64_t>(tokens) * 2 + (is_own ? 1 : 0);
}

policy::RateLeaseOptions WithoutStaticShare(policy::RateLeaseOptions options) {
  options.static_percent = 0;
  return options;
}

}  // namespace

LeasedRateBudget::LeasedRateBudget(const Clock& clock,
                                   gateway::SnapshotHolder& snapshots,
                                   policy::RateLeaseOptions options,
                                   RateTolerance tolerance)
    : clock(clock),
      snapshots(snapshots),
      tolerance(tolerance),
      kept(WithoutStaticShare(options)),
      own(options) {}

void LeasedRateBudget::SetKeepers(Keepers functions) {
  this->keepers = std::move(functions);
}

void LeasedRateBudget::Reserve(const WorkspaceName& workspace,
                               TokenCount tokens,
                               Callback callback) {
  const auto snapshot = this->snapshots.Get();
  const auto found = snapshot->set->workspaces.find(workspace);
  if (found == snapshot->set->workspaces.end()) {
    callback({});
    return;
  }
  if (!this->keepers.ask) {
    callback(this->TakeOwn(*snapshot, found->second, tokens));
    return;
  }
  const TokenCount fleet_rate = found->second.rate;
  this->keepers.ask({0, workspace, tokens},
                    [this, snapshot, &limits = found->second, tokens,
                     fleet_rate, callback = std::move(callback)](
                        const std::optional<policy::TokenReply>& reply) {
                      const bool is_known =
                          reply && (reply->granted || reply->rate > 0);
                      if (!is_known) {
                        callback(this->TakeOwn(*snapshot, limits, tokens));
                        return;
                      }
                      callback({reply->granted, Reservation(tokens, false),
                                reply->retry_after, reply->rate, fleet_rate});
                    });
}

gateway::BudgetAnswer LeasedRateBudget::TakeOwn(
    const state::Snapshot& snapshot,
    const state::Workspace& workspace,
    TokenCount tokens) {
  const std::lock_guard lock(this->mutex);
  const policy::RateDecision decision = this->own.Take(
      workspace.name, OwnLimit(snapshot, workspace, this->tolerance), tokens,
      this->clock.Now());
  return {decision.granted, Reservation(tokens, true), decision.retry_after,
          decision.rate, workspace.rate};
}

policy::TokenReply LeasedRateBudget::HandleRequest(
    const policy::TokenRequest& request) {
  policy::TokenReply reply;
  reply.number = request.number;
  const auto snapshot = this->snapshots.Get();
  const auto found = snapshot->set->workspaces.find(request.workspace);
  if (found == snapshot->set->workspaces.end() || found->second.rate == 0) {
    return reply;
  }
  const std::lock_guard lock(this->mutex);
  const policy::RateDecision decision = this->kept.Take(
      request.workspace, KeptLimit(*snapshot, found->second, this->tolerance),
      request.tokens, this->clock.Now());
  reply.granted = decision.granted;
  reply.retry_after = decision.retry_after;
  reply.rate = decision.rate;
  return reply;
}

void LeasedRateBudget::HandleReturn(const policy::TokenReturn& returned) {
  const std::lock_guard lock(this->mutex);
  this->kept.Return(returned.workspace, returned.tokens);
}

void LeasedRateBudget::Settle(const WorkspaceName& workspace,
                              std::uint64_t reservation,
                              TokenCount used) {
  const TokenCount unused = static_cast<TokenCount>(reservation / 2) - used;
  const bool is_own = reservation % 2 != 0;
  if (unused <= 0) {
    return;
  }
  if (is_own) {
    const std::lock_guard lock(this->mutex);
    this->own.Return(workspace, unused);
  } else if (this->keepers.give_back) {
    this->keepers.give_back({workspace, unused});
  }
}

void LeasedRateBudget::SetTolerance(RateTolerance next) {
  const std::lock_guard lock(this->mutex);
  this->tolerance = next;
}

policy::RateReport LeasedRateBudget::MakeReport() {
  const std::lock_guard lock(this->mutex);
  return this->kept.MakeReport(this->clock.Now());
}

void LeasedRateBudget::ForgetPendingReports() {
  const std::lock_guard lock(this->mutex);
  this->kept.ForgetPendingReports();
}

void LeasedRateBudget::Accept(const policy::RateGrant& grant) {
  const std::lock_guard lock(this->mutex);
  this->kept.Accept(grant, this->clock.Now());
}

}  // namespace tamarackwing::daemon
