#include "tamarackwing/policy/rate_leases.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::policy {
namespace {

constexpr TokenCount kWhole = 100;
//! Beyond what a host asked for it gets room to grow before its next report.
constexpr TokenCount kRoomPercent = 130;

}  // namespace

TokenCount OwnedRate(TokenCount rate,
                     std::size_t hosts,
                     const RateLeaseOptions& options) {
  return rate * options.owned_percent / kWhole / static_cast<TokenCount>(hosts);
}

RateLeases::RateLeases(RateLeaseOptions options) : options(options) {}

void RateLeases::StartTerm(std::set<HostName> holders, TimePoint now) {
  this->accounts.clear();
  this->awaited = std::move(holders);
  this->settled_from = now + this->options.life + this->options.drift;
}

void RateLeases::SetRate(const WorkspaceName& workspace, TokenCount rate) {
  this->accounts[workspace].rate = rate;
}

RateGrant RateLeases::Grant(const HostName& host,
                            const RateReport& report,
                            TimePoint now) {
  RateGrant grant;
  grant.number = report.number;
  // A host that has just told what it holds gets no more than that: the others
  // may be told of the rest before its next report.
  const bool is_settled = this->awaited.empty() || now >= this->settled_from;
  const bool is_first = this->awaited.erase(host) > 0;
  const TimePoint expires = now + this->options.life + this->options.drift;
  for (const RateDemand& demand : report.demands) {
    const auto found = this->accounts.find(demand.workspace);
    if (found == this->accounts.end() || found->second.rate == 0) {
      continue;
    }
    Account& account = found->second;
    Holder& holder = account.holders[host];
    holder.demand = std::max<TokenCount>(0, demand.demand);
    holder.heard = now;
    std::erase_if(holder.leases, [&](const Lease& lease) {
      return lease.number < report.holds || lease.expires <= now;
    });
    if (is_first) {
      holder.leases.push_back({report.holds, demand.held, expires});
    }
    TokenCount share = this->Share(account, host, now);
    if (!is_settled) {
      share = std::min(share, std::max<TokenCount>(0, demand.held));
    }
    holder.leases.push_back({report.number, share, expires});
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
      sum += holder.Most(now);
    }
  }
  return sum;
}

TokenCount RateLeases::Holder::Most(TimePoint now) const {
  TokenCount max_share = 0;
  for (const Lease& lease : this->leases) {
    if (lease.expires > now) {
      max_share = std::max(max_share, lease.share);
    }
  }
  return max_share;
}

TokenCount RateLeases::Share(const Account& account,
                             const HostName& host,
                             TimePoint now) const {
  const TokenCount pool =
      account.rate * (kWhole - this->options.owned_percent) / kWhole;
  TokenCount wanted = 0;
  TokenCount taken = 0;
  TokenCount asking = 0;
  for (const auto& [name, holder] : account.holders) {
    if (now - holder.heard < this->options.life) {
      wanted += holder.demand * kRoomPercent / kWhole;
      asking += 1;
    }
    if (name != host) {
      taken += holder.Most(now);
    }
  }
  const TokenCount own =
      account.holders.at(host).demand * kRoomPercent / kWhole;
  TokenCount fair = 0;
  if (wanted > pool) {
    fair = static_cast<TokenCount>(static_cast<double>(pool) *
                                   static_cast<double>(own) /
                                   static_cast<double>(wanted));
  } else {
    // What nobody asked for is at hand where the next peak comes.
    fair = own + (pool - wanted) / asking;
  }
  return std::max<TokenCount>(0, std::min(fair, pool - taken));
}

}  // namespace tamarackwing::policy
