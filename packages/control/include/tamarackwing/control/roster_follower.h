#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/roster_message.h"
#include "tamarackwing/state/host_record.h"

namespace tamarackwing::control {

//! How an entry host fetches the reports of its region's backend servers from
//! the roster of a host with a disk. A state machine without I/O. Not
//! thread-safe.
class RosterFollower {
 public:
  //! A request and the host that it goes to.
  struct Request {
    HostName to;
    RosterRequest request;
  };

  //! As for FeedFollower, requests are numbered from the one after
  //! `last_number` on.
  RosterFollower(RegionName region,
                 std::chrono::milliseconds interval,
                 std::uint64_t last_number = 0);

  //! Returns the request that is due. `sources` are the hosts to ask, the best
  //! first; another one is asked if the first does not reply.
  std::optional<Request> Due(const std::vector<HostName>& sources,
                             TimePoint now);
  bool IsDue(TimePoint now) const { return now >= this->due_at; }
  //! Returns the reports to apply. Empty if `from` is not the host that was
  //! asked last.
  std::vector<policy::ServerReport> HandleReply(const HostName& from,
                                                const RosterReply& reply,
                                                TimePoint now);

 private:
  RegionName region;
  std::chrono::milliseconds interval;
  TimePoint due_at;
  std::uint64_t number = 0;
  //! When each request without a reply was sent.
  std::map<std::uint64_t, TimePoint> asked;
  HostName source;
  //! The first of the sources at the last request.
  HostName best;
  TimePoint last_reply;
  TimePoint source_since;
  RosterCursor known;
  //! The host whose roster `known` refers to. Hosts that start at the same
  //! moment have the same epoch.
  HostName known_from;
  //! Reports of the known epoch, by the server's number.
  std::map<std::uint32_t, policy::ServerReport> reports;
};

//! Returns the hosts with disks in the order in which `self` asks them: those
//! of its region first, in an order that differs between hosts and so spreads
//! them, and those of `lost` last. `seeds` count while no host is known. Thread
//! safety: reentrant.
std::vector<HostName> RosterSources(
    const state::HostRecord& self,
    const std::map<HostName, state::HostRecord>& hosts,
    const std::vector<state::HostRecord>& seeds,
    const std::set<HostName>& lost);

}  // namespace tamarackwing::control
