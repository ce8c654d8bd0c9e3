#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! The state that a backend server reports when it registers or renews its
//! lease.
struct ServerReport {
  BackendServerName name;
  RegionName region;
  DataCentreName data_centre;
  //! IP address and port on which it accepts requests.
  std::string address;
  std::uint16_t port = 0;
  //! Model versions or services that it serves.
  std::vector<std::string> targets;
  //! Version of its software, without an order; empty if not reported.
  std::string software;
  //! Requests it can run concurrently.
  std::uint32_t slots = 1;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  //! Prefill speed of one request, in prompt tokens per second; zero if not
  //! reported.
  double prefill_rate = 0;
  //! Decode speed of one request, in output tokens per second; zero if not
  //! reported.
  double decode_rate = 0;
  //! Age of `running` and `queued` when the report was sent.
  std::chrono::milliseconds age{0};
  //! Time from the report's sending until this message, at hosts that relay it.
  std::chrono::milliseconds relayed_for{0};
  //! Start time of the server's process by the server's own clock; zero if not
  //! reported. Orders the processes that have used a name or an address.
  std::chrono::milliseconds started{0};
  //! Sequence number within the reports of one process; zero if unnumbered.
  std::uint64_t sequence = 0;
  //! Remaining warm-up time.
  std::chrono::milliseconds cold_for{0};
  //! Whether it is shutting down and accepts no new requests.
  bool leaving = false;

  friend bool operator==(const ServerReport&, const ServerReport&) = default;
};

}  // namespace tamarackwing::policy
