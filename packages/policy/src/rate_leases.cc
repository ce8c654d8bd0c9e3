#include "tamarackwing/policy/rate_leases.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::policy {
namespace {

constexpr TokenCount kHundredPercent = 100;
//! A host gets more than its reported demand, so that demand can grow until its
//! next report.
constexpr TokenCount kHeadroomPercent = 130;
//! How long leases and demands that have expired may still be counted; short
//! against the life of a lease.
constexpr std::chrono::milliseconds kRecountInterval{100};

}  // namespace

TokenCount StaticRate(TokenCount rate,
                      std::size_t hosts,
                      const RateLeaseOptions& options) {
  return rate * options.static_percent / kHundredPercent /
         static_cast<TokenCount>(hosts);
}

RateLeases::RateLeases(RateLeaseOptions options) : options(options) {}

void RateLeases::StartTerm(std::set<HostName> holders, TimePoint now) {
  this->accounts.clear();
  this->unreported = std::move(holders);
  this->old_leases_end = now + this->options.life + this->options.drift;
}

void RateLeases::SetRate(const WorkspaceName& workspace, TokenCount rate) {
  this->accounts[workspace].rate = rate;
}

RateGrant RateLeases::Grant(const HostName& host,
                            const RateReport& report,
                            TimePoint now) {
  RateGrant grant;
  grant.number = report.number;
  // Until the leases of earlier leaders are known or expired, a host is granted
  // at most what it reports to hold, or with moves_known_leases its share of
  // what all hosts that have reported held: moving rate among those adds
  // nothing to what the earlier leaders granted. `reported_leases` counts a
  // host's first report only, since the later ones state this leader's leases,
  // and a host's former lease stays counted until the host reports a newer one.
  // The limit also applies to the reply to the last missing report; other hosts
  // may then be granted the remaining rate before that host reports again.
  const bool old_leases_known =
      this->unreported.empty() || now >= this->old_leases_end;
  const bool is_first = this->unreported.erase(host) > 0;
  const TimePoint expires = now + this->options.life + this->options.drift;
  for (const RateDemand& demand : report.demands) {
    const auto found = this->accounts.find(demand.workspace);
    if (found == this->accounts.end() || found->second.rate == 0) {
      continue;
    }
    Account& account = found->second;
    if (now - account.recounted >= kRecountInterval) {
      this->Recount(account, now);
    }
    Holder& holder = account.holders[host];
    Discount(account, holder);
    holder.demand = std::max<TokenCount>(0, demand.demand);
    holder.reported = now;
    std::erase_if(holder.leases, [&](const Lease& lease) {
      return lease.number < report.holds || lease.expires <= now;
    });
    if (is_first) {
      holder.leases.push_back({report.holds, demand.held, expires});
      account.reported_leases += std::max<TokenCount>(0, demand.held);
    }
    this->Count(account, holder, now);
    TokenCount pool = account.rate *
                      (kHundredPercent - this->options.static_percent) /
                      kHundredPercent;
    if (!old_leases_known && this->options.moves_known_leases) {
      pool = std::min(pool, account.reported_leases);
    }
    TokenCount share = Share(account, holder, pool);
    if (!old_leases_known && !this->options.moves_known_leases) {
      share = std::min(share, std::max<TokenCount>(0, demand.held));
    }
    holder.leases.push_back({report.number, share, expires});
    Discount(account, holder);
    this->Count(account, holder, now);
    grant.shares.push_back({demand.workspace, share});
  }
  return grant;
}

TokenCount RateLeases::Outstanding(const WorkspaceName& workspace,
                                   TimePoint now) {
  TokenCount sum = 0;
  const auto account = this->accounts.find(workspace);
  if (account != this->accounts.end()) {
    for (const auto& [host, holder] : account->second.holders) {
      sum += holder.MaxShare(now);
    }
  }
  return sum;
}

TokenCount RateLeases::Holder::MaxShare(TimePoint now) const {
  TokenCount max_share = 0;
  for (const Lease& lease : this->leases) {
    if (lease.expires > now) {
      max_share = std::max(max_share, lease.share);
    }
  }
  return max_share;
}

void RateLeases::Discount(Account& account, Holder& holder) {
  account.demand -= holder.counted_demand;
  account.leased -= holder.counted_lease;
  account.active -= holder.is_counted ? 1 : 0;
  holder.counted_demand = 0;
  holder.counted_lease = 0;
  holder.is_counted = false;
}

void RateLeases::Count(Account& account, Holder& holder, TimePoint now) const {
  if (now - holder.reported < this->options.life) {
    holder.counted_demand = holder.demand * kHeadroomPercent / kHundredPercent;
    holder.is_counted = true;
  }
  holder.counted_lease = holder.MaxShare(now);
  account.demand += holder.counted_demand;
  account.leased += holder.counted_lease;
  account.active += holder.is_counted ? 1 : 0;
}

void RateLeases::Recount(Account& account, TimePoint now) const {
  account.recounted = now;
  for (auto& [host, holder] : account.holders) {
    Discount(account, holder);
    this->Count(account, holder, now);
  }
}

TokenCount RateLeases::Share(const Account& account,
                             const Holder& holder,
                             TokenCount pool) {
  const TokenCount own_demand = holder.counted_demand;
  const TokenCount leased_to_others = account.leased - holder.counted_lease;
  TokenCount fair = 0;
  if (account.demand > pool) {
    fair = static_cast<TokenCount>(static_cast<double>(pool) *
                                   static_cast<double>(own_demand) /
                                   static_cast<double>(account.demand));
  } else {
    // Excess capacity is divided equally, so that it is available wherever the
    // next peak occurs.
    fair = own_demand + (pool - account.demand) / account.active;
  }
  return std::max<TokenCount>(0, std::min(fair, pool - leased_to_others));
}

}  // namespace tamarackwing::policy
