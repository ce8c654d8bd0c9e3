#pragma once

#include <chrono>
#include <map>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/rate_leases.h"
#include "tamarackwing/policy/rate_messages.h"

namespace tamarackwing::policy {

//! A workspace's limit as the set has it.
struct RateLimit {
  //! Tokens a second over all hosts together.
  TokenCount rate = 0;
  //! Tokens. The hosts own it in equal parts, and hold it once more by what
  //! they lease: together at most twice this.
  TokenCount burst = 0;
  //! Hosts that take callers.
  std::size_t hosts = 1;
};

//! What became of a request for tokens.
struct RateAnswer {
  bool granted = false;
  //! When a new try may succeed.
  std::chrono::milliseconds retry_after{0};
  //! Tokens a second of this host at the moment.
  TokenCount rate = 0;
};

//! One host's part of each workspace's rate: what it owns and what it leases.
//! A request may take the level below zero, since requests can be larger than
//! one host's part of a burst; what was taken is paid back before the next.
//! Not thread-safe.
class RateHolder {
 public:
  explicit RateHolder(RateLeaseOptions options);

  //! Takes tokens where the level is above zero.
  RateAnswer Take(const WorkspaceName& workspace,
                  const RateLimit& limit,
                  TokenCount tokens,
                  TimePoint now);
  //! Gives tokens of a request back that was not run.
  void Return(const WorkspaceName& workspace, TokenCount tokens);
  //! The next report; workspaces that nobody asked for lately are left out.
  RateReport MakeReport(TimePoint now);
  //! Takes no more answers to reports that were made before now, so that the
  //! next report tells a new leader all that this host will go by.
  void ForgetPendingReports() { this->sent.clear(); }
  //! Takes the answer to a report; one that is overtaken or late is dropped.
  void Accept(const RateGrant& grant, TimePoint now);

 private:
  struct Account {
    RateLimit limit;
    double level = 0;
    TimePoint filled;
    TokenCount leased = 0;
    TimePoint lease_until;
    //! Tokens asked for since the last report, and the smoothed rate of it.
    TokenCount asked = 0;
    double demand = 0;
    TimePoint touched;
  };

  TokenCount RateOf(const Account& account, TimePoint now) const;
  void Fill(Account& account, TimePoint now) const;

  RateLeaseOptions options;
  std::uint64_t number = 0;
  std::uint64_t holds = 0;
  TimePoint reported;
  std::map<std::uint64_t, TimePoint> sent;
  std::map<WorkspaceName, Account> accounts;
};

}  // namespace tamarackwing::policy
