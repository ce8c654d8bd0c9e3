#include "tamarackwing/policy/rate_holder.h"

#include <algorithm>

namespace tamarackwing::policy {
namespace {

//! A workspace without requests for this long is discarded.
constexpr std::chrono::seconds kIdleTimeout{10};
//! Max reports without a reply; the oldest are discarded.
constexpr std::size_t kMaxPendingReports = 16;
//! Weight of the latest interval in the smoothed demand.
constexpr double kSmoothing = 0.5;
//! Min time between two reports: limits the work of the leader, and is short
//! against the round trip between regions that the reply takes.
constexpr std::chrono::milliseconds kMinReportInterval{50};
//! The usual interval of reports; a shorter one measures a single request as a
//! high rate.
constexpr std::chrono::milliseconds kMeasuredInterval{300};
//! A grant that raises a lease by less than this factor shows that the leader
//! has no more to give, so that early reports would be in vain.
constexpr double kUsefulRaise = 1.1;

//! Returns the share of the burst that each host has without a lease.
double StaticBurst(const RateLimit& limit) {
  return static_cast<double>(limit.burst) / static_cast<double>(limit.hosts);
}

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

RateHolder::RateHolder(RateLeaseOptions options) : options(options) {}

RateDecision RateHolder::Take(const WorkspaceName& workspace,
                              const RateLimit& limit,
                              TokenCount tokens,
                              TimePoint now,
                              bool is_counted) {
  const auto [place, is_new] = this->accounts.try_emplace(workspace);
  Account& account = place->second;
  if (is_new) {
    account.filled = now;
    account.level = StaticBurst(limit);
  }
  account.limit = limit;
  account.last_used = now;
  if (!is_counted) {
    account.requested += tokens;
    const bool has_lease = account.lease_until > now;
    const bool falls_short =
        !has_lease ||
        this->DemandSoFar(account, now) > static_cast<double>(account.leased);
    this->is_short |= falls_short && now >= account.no_early_report_until;
  }
  this->Fill(account, now);
  RateDecision decision;
  decision.rate = this->RateOf(account, now);
  decision.granted = account.level > 0;
  if (decision.granted) {
    account.level -= static_cast<double>(tokens);
    return decision;
  }
  const auto rate = static_cast<double>(std::max<TokenCount>(1, decision.rate));
  decision.retry_after = std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>((1 - account.level) / rate));
  return decision;
}

void RateHolder::Return(const WorkspaceName& workspace, TokenCount tokens) {
  const auto account = this->accounts.find(workspace);
  if (account != this->accounts.end()) {
    account->second.level += static_cast<double>(tokens);
  }
}

RateReport RateHolder::MakeReport(TimePoint now) {
  const double span = Seconds(now - this->measured);
  std::erase_if(this->accounts, [&](const auto& entry) {
    return now - entry.second.last_used > kIdleTimeout;
  });
  for (auto& [workspace, account] : this->accounts) {
    const double rate =
        static_cast<double>(account.requested) / std::max(span, 0.1);
    account.requested = 0;
    // Reports a rising demand at once and a falling one gradually, since it may
    // rise again.
    account.demand =
        std::max(rate, account.demand + (rate - account.demand) * kSmoothing);
  }
  this->measured = now;
  return this->FillReport(now);
}

bool RateHolder::NeedsEarlyReport(TimePoint now) const {
  return this->is_short && now - this->reported >= kMinReportInterval;
}

RateReport RateHolder::MakeEarlyReport(TimePoint now) {
  return this->FillReport(now);
}

double RateHolder::DemandSoFar(const Account& account, TimePoint now) const {
  const Duration span =
      std::max<Duration>(now - this->measured, kMeasuredInterval);
  return std::max(account.demand,
                  static_cast<double>(account.requested) / Seconds(span));
}

RateReport RateHolder::FillReport(TimePoint now) {
  RateReport report;
  report.number = ++this->number;
  report.holds = this->holds;
  for (const auto& [workspace, account] : this->accounts) {
    const bool is_held = account.lease_until > now;
    report.demands.push_back(
        {workspace, static_cast<TokenCount>(this->DemandSoFar(account, now)),
         is_held ? account.leased : 0});
  }
  this->reported = now;
  this->is_short = false;
  this->pending_reports[report.number] = now;
  if (this->pending_reports.size() > kMaxPendingReports) {
    this->pending_reports.erase(this->pending_reports.begin());
  }
  return report;
}

void RateHolder::Accept(const RateGrant& grant, TimePoint now) {
  const auto pending = this->pending_reports.find(grant.number);
  if (pending == this->pending_reports.end() || grant.number <= this->holds) {
    return;
  }
  const TimePoint until = pending->second + this->options.life;
  this->pending_reports.erase(this->pending_reports.begin(),
                              std::next(pending));
  if (until <= now) {
    return;
  }
  this->holds = grant.number;
  for (const RateShare& share : grant.shares) {
    const auto found = this->accounts.find(share.workspace);
    if (found == this->accounts.end()) {
      continue;
    }
    Account& account = found->second;
    this->Fill(account, now);
    const bool is_held = account.lease_until > now;
    const double useful =
        is_held ? static_cast<double>(account.leased) * kUsefulRaise : 0;
    if (static_cast<double>(share.share) <= useful) {
      account.no_early_report_until = now + kMeasuredInterval;
    }
    account.leased = share.share;
    account.lease_until = until;
  }
}

TokenCount RateHolder::RateOf(const Account& account, TimePoint now) const {
  const TokenCount static_rate =
      StaticRate(account.limit.rate, account.limit.hosts, this->options);
  return account.lease_until > now ? static_rate + account.leased : static_rate;
}

void RateHolder::Fill(Account& account, TimePoint now) const {
  const TokenCount rate = this->RateOf(account, now);
  // A host's share of the burst is in proportion to its share of the rate, but
  // never less than its static share.
  const double fraction =
      account.limit.rate == 0
          ? 1
          : static_cast<double>(rate) / static_cast<double>(account.limit.rate);
  const double max_level =
      std::max(fraction * static_cast<double>(account.limit.burst),
               StaticBurst(account.limit));
  const double gained =
      static_cast<double>(rate) * Seconds(now - account.filled);
  account.level = std::min(max_level, account.level + gained);
  account.filled = now;
}

}  // namespace tamarackwing::policy
