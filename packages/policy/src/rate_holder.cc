#include "tamarackwing/policy/rate_holder.h"

#include <algorithm>

namespace tamarackwing::policy {
namespace {

//! A workspace that nobody asked for so long is not reported.
constexpr std::chrono::seconds kIdle{10};
//! Reports whose answers are still awaited.
constexpr std::size_t kMaxSent = 16;
//! A new report counts for this part of the smoothed demand.
constexpr double kSmoothing = 0.5;

double OwnedBurst(const RateLimit& limit) {
  return static_cast<double>(limit.burst) / static_cast<double>(limit.hosts);
}

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

RateHolder::RateHolder(RateLeaseOptions options) : options(options) {}

RateAnswer RateHolder::Take(const WorkspaceName& workspace,
                            const RateLimit& limit,
                            TokenCount tokens,
                            TimePoint now) {
  const auto [place, is_new] = this->accounts.try_emplace(workspace);
  Account& account = place->second;
  if (is_new) {
    account.filled = now;
    account.level = OwnedBurst(limit);
  }
  account.limit = limit;
  account.touched = now;
  account.asked += tokens;
  this->Fill(account, now);
  RateAnswer answer;
  answer.rate = this->RateOf(account, now);
  answer.granted = account.level > 0;
  if (answer.granted) {
    account.level -= static_cast<double>(tokens);
    return answer;
  }
  const auto rate = static_cast<double>(std::max<TokenCount>(1, answer.rate));
  answer.retry_after = std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>((1 - account.level) / rate));
  return answer;
}

void RateHolder::Return(const WorkspaceName& workspace, TokenCount tokens) {
  const auto account = this->accounts.find(workspace);
  if (account != this->accounts.end()) {
    account->second.level += static_cast<double>(tokens);
  }
}

RateReport RateHolder::MakeReport(TimePoint now) {
  RateReport report;
  report.number = ++this->number;
  report.holds = this->holds;
  const double span = Seconds(now - this->reported);
  std::erase_if(this->accounts, [&](const auto& entry) {
    return now - entry.second.touched > kIdle;
  });
  for (auto& [workspace, account] : this->accounts) {
    const double rate =
        static_cast<double>(account.asked) / std::max(span, 0.1);
    account.asked = 0;
    // What rises is wanted at once; what falls may come again.
    account.demand =
        std::max(rate, account.demand + (rate - account.demand) * kSmoothing);
    const bool is_held = account.lease_until > now;
    report.demands.push_back({workspace,
                              static_cast<TokenCount>(account.demand),
                              is_held ? account.leased : 0});
  }
  this->reported = now;
  this->sent[report.number] = now;
  if (this->sent.size() > kMaxSent) {
    this->sent.erase(this->sent.begin());
  }
  return report;
}

void RateHolder::Accept(const RateGrant& grant, TimePoint now) {
  const auto asked = this->sent.find(grant.number);
  if (asked == this->sent.end() || grant.number <= this->holds) {
    return;
  }
  const TimePoint until = asked->second + this->options.life;
  this->sent.erase(this->sent.begin(), std::next(asked));
  if (until <= now) {
    return;
  }
  this->holds = grant.number;
  for (const RateShare& share : grant.shares) {
    const auto found = this->accounts.find(share.workspace);
    if (found == this->accounts.end()) {
      continue;
    }
    this->Fill(found->second, now);
    found->second.leased = share.share;
    found->second.lease_until = until;
  }
}

TokenCount RateHolder::RateOf(const Account& account, TimePoint now) const {
  const TokenCount owned =
      OwnedRate(account.limit.rate, account.limit.hosts, this->options);
  return account.lease_until > now ? owned + account.leased : owned;
}

void RateHolder::Fill(Account& account, TimePoint now) const {
  const TokenCount rate = this->RateOf(account, now);
  // A host's part of the burst is as large as its part of the rate, and never
  // less than what it owns.
  const double part =
      account.limit.rate == 0
          ? 1
          : static_cast<double>(rate) / static_cast<double>(account.limit.rate);
  const double max_level =
      std::max(part * static_cast<double>(account.limit.burst),
               OwnedBurst(account.limit));
  const double gained =
      static_cast<double>(rate) * Seconds(now - account.filled);
  account.level = std::min(max_level, account.level + gained);
  account.filled = now;
}

}  // namespace tamarackwing::policy
