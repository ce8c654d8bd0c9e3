#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "tamarackwing/backend_servers/connection_pool.h"
#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::gateway {

//! What a gateway is told at its start.
struct GatewaySettings {
  HostName host;
  RegionName region;
  DataCentreName data_centre;
  //! Proves to other hosts that a forwarded request comes from a host.
  std::string cluster_secret;
  //! A stream without bytes for so long is resumed.
  std::chrono::milliseconds stream_silence{5'000};
  //! An idempotent request on a reused connection without a first byte for so
  //! long beyond its expected time is tried on a fresh one.
  std::chrono::milliseconds first_byte_silence{2'000};
  //! How long an operation's answer is awaited beyond the caller's deadline.
  std::chrono::milliseconds operation_grace{30'000};
  //! Time to live of a directory answer.
  std::chrono::milliseconds directory_time_to_live{5'000};
  //! The most bytes of an answer that is held whole.
  std::size_t answer_bytes = 16 * 1024 * 1024;
  //! Waiting requests for one target.
  std::size_t queue_capacity = 1024;
  //! Another region must save so many percent of a request's service time to
  //! be preferred.
  unsigned spill_margin_percent = 50;
  backend_servers::PoolLimits pool;
};

}  // namespace tamarackwing::gateway
