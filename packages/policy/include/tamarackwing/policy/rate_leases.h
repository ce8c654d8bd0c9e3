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

//! How the rates of workspaces are divided among hosts: a static share for each
//! host, and leases for the rest.
struct RateLeaseOptions {
  //! Duration of a lease by its holder's clock, from the report that requested
  //! it.
  std::chrono::milliseconds life{4'000};
  //! Max clock drift between two hosts over the life of a lease.
  std::chrono::milliseconds drift{300};
  //! The percentage of each rate that is divided equally and without leases, so
  //! that a partitioned host can still serve.
  unsigned static_percent = 10;
  //! Whether a new leader moves rate among the holders that have reported while
  //! former leases are unknown; see RateLeases::StartTerm.
  bool moves_known_leases = false;
};

//! Returns the static share of a rate that each of `hosts` hosts has without a
//! lease.
//! Preconditions: `hosts` is positive. Thread safety: reentrant.
TokenCount StaticRate(TokenCount rate,
                      std::size_t hosts,
                      const RateLeaseOptions& options);

//! Divides each workspace's rate among the hosts by demand, on leases. The
//! static shares and all leases that may still be in use never sum to more than
//! the rate. Handles workspaces whose peak moves from region to region: an
//! equal division would refuse their requests in every region. Not thread-safe.
class RateLeases {
 public:
  explicit RateLeases(RateLeaseOptions options);

  //! Starts a leader's term with neither rates nor leases: those that earlier
  //! leaders granted to `holders` are unknown. Until each holder has reported
  //! its lease, or all such leases must have expired, no host is granted more
  //! than it reports to hold; with RateLeaseOptions::moves_known_leases, the
  //! hosts that have reported are together leased no more than they reported
  //! to hold. Safe in both cases: the earlier leaders' leases did not exceed
  //! the rate, so those of the other holders fit next to the reported ones.
  //! Precondition: a holder accepts no grant of an earlier leader after it has
  //! reported to this one.
  void StartTerm(std::set<HostName> holders, TimePoint now);
  //! Sets a workspace's rate (tokens per second) for future leases.
  void SetRate(const WorkspaceName& workspace, TokenCount rate);
  //! Returns the leases for a report; none for workspaces without a rate.
  RateGrant Grant(const HostName& host,
                  const RateReport& report,
                  TimePoint now);
  //! Returns the sum of all leases that may still be in use.
  TokenCount Outstanding(const WorkspaceName& workspace, TimePoint now);

 private:
  struct Lease {
    //! Number of the report that requested it.
    std::uint64_t number = 0;
    TokenCount share = 0;
    TimePoint expires;
  };
  struct Holder {
    //! As last reported, in tokens per second.
    TokenCount demand = 0;
    TimePoint reported;
    //! The lease that the holder uses and those that may replace it.
    std::deque<Lease> leases;
    //! What the account's sums include of this holder.
    TokenCount counted_demand = 0;
    TokenCount counted_lease = 0;
    bool is_counted = false;

    //! Returns the largest share that the holder may still be using: it may
    //! have missed the newer grants.
    TokenCount MaxShare(TimePoint now) const;
  };
  //! A workspace's holders and sums over them, so that a report costs the same
  //! however many hosts there are. What has expired since the last recount is
  //! still included, so the sums are never too small.
  struct Account {
    TokenCount rate = 0;
    //! Leases of earlier leaders that holders have reported in this term.
    TokenCount reported_leases = 0;
    std::map<HostName, Holder> holders;
    TimePoint recounted;
    //! Demand, with headroom, and number of the holders that report.
    TokenCount demand = 0;
    TokenCount active = 0;
    //! Largest shares that the holders may still be using.
    TokenCount leased = 0;
  };

  //! Removes a holder from its account's sums.
  static void Discount(Account& account, Holder& holder);
  //! Adds a holder that is not in its account's sums.
  void Count(Account& account, Holder& holder, TimePoint now) const;
  void Recount(Account& account, TimePoint now) const;
  //! Returns the share of `pool`, the tokens per second that may be on lease,
  //! to lease next to a holder that is in the sums.
  static TokenCount Share(const Account& account,
                          const Holder& holder,
                          TokenCount pool);

  RateLeaseOptions options;
  //! Holders that have not reported since the term started.
  std::set<HostName> unreported;
  //! When all leases of earlier leaders have expired.
  TimePoint old_leases_end;
  std::map<WorkspaceName, Account> accounts;
};

}  // namespace tamarackwing::policy
