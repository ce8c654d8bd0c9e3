#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/rate_messages.h"

namespace tamarackwing::policy {

//! How the rates of workspaces are divided among hosts.
struct RateLeaseOptions {
  //! How long a lease lasts, by its holder's clock, from the report on.
  std::chrono::milliseconds life{4'000};
  //! What clocks may differ over a lease's life.
  std::chrono::milliseconds drift{300};
  //! The part of each rate that the hosts own outright, in equal parts, so that
  //! one that is cut off still serves.
  unsigned owned_percent = 10;
};

//! The part of a rate that one of `hosts` hosts owns outright.
//! Preconditions: `hosts` is positive. Thread safety: reentrant.
TokenCount OwnedRate(TokenCount rate,
                     std::size_t hosts,
                     const RateLeaseOptions& options);

//! Divides each workspace's rate among the hosts by what they need, on leases.
//! All leases that may still be gone by, and what hosts own outright, never sum
//! to more than the rate. Answers the load pattern in which a workspace's peak
//! moves from region to region: an equal division would refuse it everywhere.
//! Not thread-safe.
class RateLeases {
 public:
  explicit RateLeases(RateLeaseOptions options);

  //! Forgets what an earlier leader gave out. It may be in force until all of
  //! `holders`, which are the hosts that may hold leases, have said what they
  //! hold, or until its life is over; until then each host gets no more than it
  //! says. Precondition: a holder takes no answer of an earlier leader after it
  //! has reported to this one.
  void StartTerm(std::set<HostName> holders, TimePoint now);
  //! Sets a workspace's rate for the leases from now on.
  void SetRate(const WorkspaceName& workspace, TokenCount rate);
  //! Answers a report. A workspace without a rate gets nothing.
  RateGrant Grant(const HostName& host,
                  const RateReport& report,
                  TimePoint now);
  //! All that may still be gone by.
  TokenCount Outstanding(const WorkspaceName& workspace, TimePoint now);

 private:
  struct Lease {
    std::uint64_t number = 0;
    TokenCount share = 0;
    TimePoint expires;
  };
  struct Holder {
    TokenCount demand = 0;
    TimePoint heard;
    std::deque<Lease> leases;

    TokenCount Most(TimePoint now) const;
  };
  struct Account {
    TokenCount rate = 0;
    std::map<HostName, Holder> holders;
  };

  TokenCount Share(const Account& account,
                   const HostName& host,
                   TimePoint now) const;

  RateLeaseOptions options;
  //! Holders that have not said yet what they hold.
  std::set<HostName> awaited;
  TimePoint settled_from;
  std::map<WorkspaceName, Account> accounts;
};

}  // namespace tamarackwing::policy
