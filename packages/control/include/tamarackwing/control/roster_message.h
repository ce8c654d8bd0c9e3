#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/server_report.h"

namespace tamarackwing::control {

//! A point in the history of one process's roster of backend servers.
struct RosterCursor {
  //! Identifies the host's process; zero if nothing of its roster is known.
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;

  friend bool operator==(const RosterCursor&, const RosterCursor&) = default;
};

//! Asks a host with a disk what has changed in its roster of a region's backend
//! servers.
struct RosterRequest {
  //! Counts the sender's requests.
  std::uint64_t number = 0;
  RegionName region;
  RosterCursor known;
};

//! A server whose last report is new to the recipient. The report's
//! `relayed_for` is its age.
struct RosterEntry {
  //! Identifies the server in the renewals of the same epoch.
  std::uint32_t id = 0;
  policy::ServerReport report;
};

//! A server that has sent the same report again.
struct RosterRenewal {
  std::uint32_t id = 0;
  //! Age of the newest report when the message was sent.
  std::chrono::milliseconds age{0};
};

//! What has changed in a roster since the request's cursor. Servers that have
//! stopped sending reports are not named: their leases run out at the
//! recipient.
struct RosterReply {
  //! Number of the request.
  std::uint64_t number = 0;
  RosterCursor reached;
  //! The version that the changes start from; zero if they are the whole
  //! roster.
  std::uint64_t since = 0;
  std::vector<RosterEntry> entries;
  std::vector<RosterRenewal> renewals;
};

}  // namespace tamarackwing::control
