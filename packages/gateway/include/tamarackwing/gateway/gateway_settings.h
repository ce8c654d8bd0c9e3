#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "tamarackwing/backend_servers/connection_pool.h"
#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::gateway {

//! Parts of the scheduling of path calls that a deployment turns on; see
//! docs/settings.md.
struct SchedulingSettings {
  //! Asks the bucket keepers of other regions for tokens that the region's
  //! keeper cannot grant.
  bool ask_other_keepers = false;
  //! Shares each server's load and speed among the hosts of a region.
  bool share_loads = false;
  //! Moves work to regions with free capacity before requests wait.
  bool spill_ahead = false;
  //! Starts a request only where it can end before its deadline.
  bool fit_deadlines = false;
  //! Tells servers how urgent a request is.
  bool pass_urgency = false;
  //! Prompt tokens that a server without other requests processes per second;
  //! the starting value of what is learned per target. Positive.
  double prefill_tokens_per_s = 30'000;
};

//! Settings of a gateway, fixed when it is constructed.
struct GatewaySettings {
  HostName host;
  RegionName region;
  DataCentreName data_centre;
  //! Shared secret that proves to other hosts that a request was forwarded by a
  //! host of this system.
  std::string cluster_secret;
  //! Time without bytes after which a stream is resumed on a new connection.
  std::chrono::milliseconds stream_silence{5'000};
  //! An idempotent request on a reused connection is retried on a new one if
  //! the first byte is this much later than expected.
  std::chrono::milliseconds first_byte_silence{2'000};
  //! Time after the caller's deadline for which the gateway still waits for the
  //! response to an operation.
  std::chrono::milliseconds operation_grace{30'000};
  //! Time to live of a directory response.
  std::chrono::milliseconds directory_time_to_live{5'000};
  //! Maximum body size of a response that is buffered before it is passed on.
  std::size_t answer_bytes = 16 * 1024 * 1024;
  //! Maximum number of queued requests for one target.
  std::size_t queue_capacity = 1024;
  //! Minimum saving for forwarding a request to another region, as a percentage
  //! of its service time.
  unsigned spill_margin_percent = 50;
  backend_servers::PoolLimits pool;
  SchedulingSettings scheduling;
};

}  // namespace tamarackwing::gateway
