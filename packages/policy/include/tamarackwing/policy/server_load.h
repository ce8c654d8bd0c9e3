#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! Identifies a backend server in load messages: 32 bits of the digest of its
//! name. Two servers of a region with the same value count as one.
//! Thread safety: reentrant.
std::uint32_t ServerIdOf(const BackendServerName& server);

//! The load that one host, or all hosts of a region, put on a backend server.
struct ServerUse {
  //! See ServerIdOf.
  std::uint32_t server = 0;
  //! Requests in flight.
  std::uint32_t running = 0;
  //! Prompt tokens sent whose prefill has not finished.
  TokenCount pending_prefill = 0;
  //! Pauses between two events of a stream, and their sum: in a report, those
  //! since the last report; in a summary, those of the last seconds.
  std::uint32_t pauses = 0;
  std::chrono::milliseconds pause_sum{0};

  friend bool operator==(const ServerUse&, const ServerUse&) = default;
};

//! A host's use of its region's servers, for the region's load collector. The
//! reply is a LoadSummary.
struct LoadReport {
  //! Counts the sender's reports.
  std::uint64_t number = 0;
  //! Servers on which the host has no requests and has seen no pauses since
  //! its last report are omitted.
  std::vector<ServerUse> uses;
};

//! The use of a region's servers by all its hosts, the recipient included.
struct LoadSummary {
  //! Number of the report that it replies to; that report is included.
  std::uint64_t number = 0;
  std::vector<ServerUse> uses;
  //! Hosts whose reports are included.
  std::uint32_t hosts = 0;
};

}  // namespace tamarackwing::policy
