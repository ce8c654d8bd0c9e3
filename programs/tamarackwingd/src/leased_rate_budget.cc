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

//! The source of a reservation's tokens: this host's own share, the region's
//! keeper, or kFirstNamed plus the position of the keeper that granted them.
constexpr std::uint64_t kOwnShare = 0;
constexpr std::uint64_t kRegionKeeper = 1;
constexpr std::uint64_t kFirstNamed = 2;
constexpr std::uint64_t kMaxSources = 256;

//! A reservation's only state: its tokens, and their source.
std::uint64_t Reservation(TokenCount tokens, std::uint64_t source) {
  return static_cast<std::uint64_t>(tokens) * kMaxSources + source;
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
                               TimePoint latest,
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
  if (this->keepers.inquire) {
    this->Inquire(snapshot, found->second, tokens, latest, std::move(callback));
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
                      callback({reply->granted,
                                Reservation(tokens, kRegionKeeper),
                                reply->retry_after,
                                reply->rate,
                                fleet_rate,
                                {}});
                    });
}

void LeasedRateBudget::Inquire(std::shared_ptr<const state::Snapshot> snapshot,
                               const state::Workspace& limits,
                               TokenCount tokens,
                               TimePoint latest,
                               Callback callback) {
  std::optional<std::chrono::milliseconds> known_wait;
  {
    const std::lock_guard lock(this->mutex);
    known_wait = this->refused.RetryAfter(limits.name, this->clock.Now());
  }
  if (known_wait) {
    gateway::BudgetAnswer answer;
    answer.retry_after = *known_wait;
    answer.fleet_rate = limits.rate;
    answer.keepers = "refused_before";
    callback(std::move(answer));
    return;
  }
  this->keepers.inquire(
      {0, limits.name, tokens}, latest,
      [this, snapshot = std::move(snapshot), &limits, tokens,
       callback = std::move(callback)](const policy::TokenDecision& decision,
                                       std::string answers) {
        gateway::BudgetAnswer answer =
            this->ApplyDecision(*snapshot, limits, tokens, decision);
        answer.keepers = std::move(answers);
        callback(std::move(answer));
      });
}

gateway::BudgetAnswer LeasedRateBudget::ApplyDecision(
    const state::Snapshot& snapshot,
    const state::Workspace& limits,
    TokenCount tokens,
    const policy::TokenDecision& decision) {
  if (decision.verdict == policy::TokenVerdict::kUseStaticShare) {
    gateway::BudgetAnswer answer = this->TakeOwn(snapshot, limits, tokens);
    // A lease follows sooner than the static share, a small part of the rate,
    // has repaid its debt.
    answer.retry_after = std::min(
        answer.retry_after, decision.retry_after.value_or(answer.retry_after));
    return answer;
  }
  const std::lock_guard lock(this->mutex);
  gateway::BudgetAnswer answer;
  answer.granted = decision.verdict == policy::TokenVerdict::kGranted;
  answer.host_rate = decision.rate;
  answer.fleet_rate = limits.rate;
  if (answer.granted) {
    answer.reservation = this->KeptReservation(tokens, decision.keeper);
  } else {
    answer.retry_after =
        decision.retry_after.value_or(std::chrono::milliseconds(0));
    if (decision.is_unanimous) {
      this->refused.Note(limits.name, answer.retry_after, this->clock.Now());
    }
  }
  return answer;
}

std::uint64_t LeasedRateBudget::KeptReservation(TokenCount tokens,
                                                const HostName& keeper) {
  const auto found =
      std::find(this->granting.begin(), this->granting.end(), keeper);
  const auto position =
      static_cast<std::uint64_t>(std::distance(this->granting.begin(), found));
  if (position >= kMaxSources - kFirstNamed) {
    return Reservation(tokens, kRegionKeeper);
  }
  if (found == this->granting.end()) {
    this->granting.push_back(keeper);
  }
  return Reservation(tokens, kFirstNamed + position);
}

gateway::BudgetAnswer LeasedRateBudget::TakeOwn(
    const state::Snapshot& snapshot,
    const state::Workspace& workspace,
    TokenCount tokens) {
  const std::lock_guard lock(this->mutex);
  const policy::RateDecision decision = this->own.Take(
      workspace.name, OwnLimit(snapshot, workspace, this->tolerance), tokens,
      this->clock.Now());
  return {decision.granted,     Reservation(tokens, kOwnShare),
          decision.retry_after, decision.rate,
          workspace.rate,       {}};
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
      request.tokens, this->clock.Now(), request.is_counted);
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
  const TokenCount unused =
      static_cast<TokenCount>(reservation / kMaxSources) - used;
  const std::uint64_t source = reservation % kMaxSources;
  if (unused <= 0) {
    return;
  }
  HostName keeper;
  {
    const std::lock_guard lock(this->mutex);
    if (source == kOwnShare) {
      this->own.Return(workspace, unused);
      return;
    }
    if (source >= kFirstNamed) {
      keeper = this->granting.at(source - kFirstNamed);
    }
  }
  if (this->keepers.give_back) {
    this->keepers.give_back({workspace, unused}, keeper);
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

bool LeasedRateBudget::NeedsEarlyReport() {
  const std::lock_guard lock(this->mutex);
  return this->kept.NeedsEarlyReport(this->clock.Now());
}

policy::RateReport LeasedRateBudget::MakeEarlyReport() {
  const std::lock_guard lock(this->mutex);
  return this->kept.MakeEarlyReport(this->clock.Now());
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
