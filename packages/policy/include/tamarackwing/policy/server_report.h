#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! What a backend server says of itself when it announces or renews.
struct ServerReport {
  BackendServerName name;
  RegionName region;
  DataCentreName data_centre;
  //! IP address and port on which it takes requests.
  std::string address;
  std::uint16_t port = 0;
  //! Model versions or services that it serves.
  std::vector<std::string> targets;
  //! Requests it runs at once.
  std::uint32_t slots = 1;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  //! Prompt tokens a second for one request.
  double prefill_rate = 0;
  //! Output tokens a second for one request.
  double decode_rate = 0;
  //! How old the figures were when they were sent.
  std::chrono::milliseconds age{0};
  //! When the server's process started, by the server's own clock; zero where
  //! it does not say.
  std::chrono::milliseconds started{0};
  //! Counts the reports of one process; zero where they are not counted.
  std::uint64_t sequence = 0;
  //! How much longer the server stays cold.
  std::chrono::milliseconds cold_for{0};
  //! Whether it leaves: no new work.
  bool leaving = false;

  friend bool operator==(const ServerReport&, const ServerReport&) = default;
};

}  // namespace tamarackwing::policy
