#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/state/residency_rule.h"
#include "tamarackwing/state/service.h"

namespace tamarackwing::state {

//! Retry semantics of a path route's requests.
enum class PathKind {
  //! Requests may run more than once.
  kIdempotent,
  //! Requests run at most once.
  kOnce,
  //! The response is an event stream; requests run at most once unless the
  //! route is resumable.
  kStream,
};

//! A service's weighted share of a route's requests.
struct ServiceShare {
  ServiceName service;
  std::uint32_t weight = 1;

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

//! A route that matches requests by authority and path prefix and proxies them
//! unchanged.
struct PathRoute {
  RouteName name;
  std::string authority;
  //! Path prefix; begins and ends with a slash. The longest matching prefix
  //! wins.
  std::string prefix;
  PathKind kind = PathKind::kIdempotent;
  //! Whether callers may send requests without a key.
  bool open = false;
  //! Whether a broken stream may be resumed on another server after the last
  //! event received.
  bool resumable = false;
  //! Maximum time to the complete response.
  std::chrono::milliseconds timeout{0};
  //! Latency target for a response, or for a stream's first event; zero for
  //! none.
  std::chrono::milliseconds target_latency{0};
  //! Target for the maximum time between two events of a stream.
  std::chrono::milliseconds target_gap{0};
  //! Zero is the highest priority.
  std::uint32_t priority = 0;
  //! Maximum number of servers to which one request may be sent.
  std::uint32_t most_tries = 1;
  //! At least one weight is not zero.
  std::vector<ServiceShare> services;
  ResidencyRuleName residency;

  friend bool operator==(const PathRoute&, const PathRoute&) = default;
};

}  // namespace tamarackwing::state
