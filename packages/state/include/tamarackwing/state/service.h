#pragma once

#include <chrono>
#include <cstdint>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

using ServiceName = StrongId<struct ServiceNameTag>;

//! A group of interchangeable backend servers.
struct Service {
  ServiceName name;
  //! Maximum connections to one server, over all callers; zero for no limit.
  std::uint32_t connection_limit = 0;
  //! How long a server counts as cold after its start.
  std::chrono::milliseconds warmup{0};
  //! Request rate that a cold server can handle, in requests per 1000 seconds.
  std::uint32_t warmup_per_kilosecond = 0;
  //! Maximum concurrent requests of one engine; zero for a service without
  //! engines.
  std::uint32_t engine_slots = 0;
  //! Capacity of one engine's KV cache, in tokens.
  TokenCount engine_tokens = 0;

  friend bool operator==(const Service&, const Service&) = default;
};

}  // namespace tamarackwing::state
