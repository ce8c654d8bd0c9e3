#pragma once

#include <chrono>
#include <map>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/rate_leases.h"
#include "tamarackwing/policy/rate_messages.h"

namespace tamarackwing::policy {

//! A workspace's rate limit in the configuration set.
struct RateLimit {
  //! Tokens per second of all hosts together.
  TokenCount rate = 0;
  //! In tokens. Each host has an equal share of it, or a share in proportion to
  //! its rate if that is larger; all hosts together have at most twice the
  //! burst.
  TokenCount burst = 0;
  //! Number of hosts among which the static share and the burst are divided.
  std::size_t hosts = 1;
};

//! The result of a request for tokens.
struct RateDecision {
  bool granted = false;
  //! Delay after which a retry may succeed; zero if granted.
  std::chrono::milliseconds retry_after{0};
  //! This host's current rate, in tokens per second.
  TokenCount rate = 0;
};

//! Limits the requests of one host to its share of each workspace's rate: the
//! static share and the leased one. A token bucket that a request may drive
//! below zero, since a request can be larger than one host's share of a burst;
//! the debt is repaid before the next request. Not thread-safe.
class RateHolder {
 public:
  explicit RateHolder(RateLeaseOptions options);

  //! Takes the tokens of a request if the level is above zero; a refused
  //! request counts towards the reported demand, too. `is_counted`: another
  //! host counts these tokens as its demand, so this one does not; otherwise a
  //! request that several hosts refuse would draw leases away from the host at
  //! which the demand is.
  RateDecision Take(const WorkspaceName& workspace,
                    const RateLimit& limit,
                    TokenCount tokens,
                    TimePoint now,
                    bool is_counted = false);
  //! Returns the tokens of a request that was not run.
  void Return(const WorkspaceName& workspace, TokenCount tokens);
  //! Makes the next report and discards workspaces without recent requests.
  RateReport MakeReport(TimePoint now);
  //! Returns whether a workspace has no lease or one below its demand, and the
  //! last report was long enough ago for an early one.
  bool NeedsEarlyReport(TimePoint now) const;
  //! Makes a report between two of MakeReport. It names all workspaces, as a
  //! leader requires of each report, and leaves the measurement of demand as it
  //! is: a span of some 50 ms has too few requests to measure a rate.
  RateReport MakeEarlyReport(TimePoint now);
  //! Ignores replies to earlier reports from now on. Called before the first
  //! report to a new leader, which must contain all leases that this host can
  //! still use.
  void ForgetPendingReports() { this->pending_reports.clear(); }
  //! Applies the reply to a report; drops one that is older than the applied
  //! grant or whose leases have expired.
  void Accept(const RateGrant& grant, TimePoint now);

 private:
  struct Account {
    RateLimit limit;
    //! Tokens in the bucket; negative while a debt is being repaid.
    double level = 0;
    TimePoint filled;
    //! Leased tokens per second until `lease_until`.
    TokenCount leased = 0;
    TimePoint lease_until;
    //! Tokens requested since the last report.
    TokenCount requested = 0;
    //! Smoothed tokens per second requested.
    double demand = 0;
    TimePoint last_used;
    //! Until when a demand beyond the lease is no reason for an early report,
    //! because the leader knew of it and granted no more.
    TimePoint no_early_report_until;
  };

  //! Returns the demand to report before the interval of measurement is over,
  //! in tokens per second.
  double DemandSoFar(const Account& account, TimePoint now) const;
  //! Numbers a report and adds the workspaces' demands and leases to it.
  RateReport FillReport(TimePoint now);

  //! Returns the static and the leased share, in tokens per second.
  TokenCount RateOf(const Account& account, TimePoint now) const;
  void Fill(Account& account, TimePoint now) const;

  RateLeaseOptions options;
  //! Number of the last report.
  std::uint64_t number = 0;
  //! Number of the newest applied grant.
  std::uint64_t holds = 0;
  //! When the measurement of demand began, and when the last report was made.
  TimePoint measured;
  TimePoint reported;
  //! Whether a demand exceeded its lease since the last report.
  bool is_short = false;
  //! When each report without a reply was made, by report number.
  std::map<std::uint64_t, TimePoint> pending_reports;
  std::map<WorkspaceName, Account> accounts;
};

}  // namespace tamarackwing::policy
