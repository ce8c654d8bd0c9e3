#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/roster_message.h"

namespace tamarackwing::control {

//! The last reports of backend servers, as a host with a disk knows them, from
//! which entry hosts fetch what has changed. Most reports only renew the one
//! before, so the load grows with the servers that change, and a renewal costs
//! a few bytes. A state machine without I/O. Not thread-safe.
class ServerRoster {
 public:
  //! Preconditions: `epoch` differs between a host's processes; a report counts
  //! as a sign of life for `lease`.
  ServerRoster(std::uint64_t epoch, std::chrono::milliseconds lease);

  //! Records a report that was sent at `sent`. Returns whether it says anything
  //! new; false for a renewal, for one that is older than the last, and once
  //! the roster is full.
  bool Note(const policy::ServerReport& report, TimePoint sent);
  //! Returns the last report of a server, valid until the next change of the
  //! roster; null if it is unknown.
  const policy::ServerReport* Find(const BackendServerName& name) const;
  //! Returns what a host lacks.
  RosterReply Reply(const RosterRequest& request, TimePoint now) const;
  //! Forgets servers that have not reported for a while.
  void Expire(TimePoint now);
  std::size_t Size() const { return this->servers.size(); }

 private:
  struct Server {
    std::uint32_t id = 0;
    policy::ServerReport report;
    TimePoint sent;
    //! Versions of the roster at which the report changed and was renewed.
    std::uint64_t changed = 0;
    std::uint64_t renewed = 0;
  };

  std::uint64_t epoch;
  std::chrono::milliseconds lease;
  std::uint64_t version = 0;
  std::uint32_t next_id = 0;
  std::map<BackendServerName, Server> servers;
};

}  // namespace tamarackwing::control
