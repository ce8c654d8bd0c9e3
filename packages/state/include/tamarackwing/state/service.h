#pragma once

#include <chrono>
#include <cstdint>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

using ServiceName = StrongId<struct ServiceNameTag>;

//! Backend servers that answer the same requests.
struct Service {
  ServiceName name;
  //! Connections that one server takes from all callers together; zero for no
  //! bound.
  std::uint32_t connection_limit = 0;
  //! How long a server stays cold after its start.
  std::chrono::milliseconds warmup{0};
  //! Requests a thousand seconds that a cold server bears.
  std::uint32_t warmup_per_kilosecond = 0;
  //! Requests that one engine runs at once; zero where it is a plain service.
  std::uint32_t engine_slots = 0;
  //! Tokens that one engine's memory holds.
  TokenCount engine_tokens = 0;

  friend bool operator==(const Service&, const Service&) = default;
};

}  // namespace tamarackwing::state
