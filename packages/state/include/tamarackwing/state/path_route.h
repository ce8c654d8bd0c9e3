#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/state/residency_rule.h"
#include "tamarackwing/state/service.h"

namespace tamarackwing::state {

//! What may be done again with the requests of a path route.
enum class PathKind {
  //! May run more than once.
  kIdempotent,
  //! Runs at most once.
  kOnce,
  //! Answered by a stream of events; runs at most once unless it is resumable.
  kStream,
};

//! A service's part of a route's requests.
struct ServiceShare {
  ServiceName service;
  std::uint32_t weight = 1;

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

//! Requests that are told apart by their authority and path, and passed on as
//! they are.
struct PathRoute {
  RouteName name;
  std::string authority;
  //! Begins and ends with a slash; the longest prefix of a path wins.
  std::string prefix;
  PathKind kind = PathKind::kIdempotent;
  //! Whether callers need no key.
  bool open = false;
  //! Whether a stream may go on at another server after its last event.
  bool resumable = false;
  //! The longest time to a final answer.
  std::chrono::milliseconds timeout{0};
  //! The time within which an answer, or a stream's first event, is on time.
  std::chrono::milliseconds target_latency{0};
  //! The longest pause between events that is on time.
  std::chrono::milliseconds target_gap{0};
  //! Zero is the most urgent.
  std::uint32_t priority = 0;
  //! Servers to which one request may be sent.
  std::uint32_t most_tries = 1;
  //! Weights are not all zero.
  std::vector<ServiceShare> services;
  ResidencyRuleName residency;

  friend bool operator==(const PathRoute&, const PathRoute&) = default;
};

}  // namespace tamarackwing::state
