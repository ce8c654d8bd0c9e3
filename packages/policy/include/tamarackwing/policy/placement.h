#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "tamarackwing/base/clock.h"

namespace tamarackwing {
class RandomSource;
}

namespace tamarackwing::policy {

//! A candidate server with its expected wait and cost for one request.
struct PlacementOption {
  std::string_view server;
  //! Expected time until the server starts the request's prefill.
  Duration wait{};
  //! `wait` plus the request's own prefill and decode time.
  Duration cost{};
  //! Relative speed. A server of twice the speed gets twice the groups.
  double speed = 1;
};

//! Prompts with a common prefix.
struct PromptGroup {
  //! Digest of the common prefix; zero for a prompt without a group.
  std::uint64_t digest = 0;
  //! How long an engine takes to prefill the common prefix.
  Duration prefill_time{};
  //! The group leaves its server once the wait there exceeds the lowest one by
  //! more than this many prefills of the common prefix. Among bounds from 1 to
  //! 10, 4 gave the highest throughput under heavy load where waits are only
  //! estimated from a host's own requests.
  int max_extra_prefills = 4;
};

//! A chosen server.
struct Placement {
  //! Index in the options.
  std::size_t option = 0;
  //! Whether it owns the prompt's group, and so has probably cached the common
  //! prefix.
  bool is_owner = false;
};

//! Chooses a server.
//!
//! A prompt without a group goes to the cheaper of two random choices among the
//! servers whose cost is close to the lowest, so that hosts with the same
//! outdated reports don't all choose the same server.
//!
//! Prompts of a group are co-located for prefix-cache affinity. This handles
//! callers that send prompts about the same long documents at rates close to
//! the engines' prefill capacity: an engine that prefills a document again
//! delays all prompts queued on it. The group's server is chosen by rendezvous
//! hashing, weighted by the servers' speeds, so that all hosts agree on it. A
//! server is skipped in favour of the next in that order only while its wait
//! exceeds the lowest wait of all servers by more than several prefills of the
//! common prefix.
//!
//! Preconditions: `options` is not empty. Thread safety: as for `random`.
Placement Place(const std::vector<PlacementOption>& options,
                const PromptGroup& group,
                RandomSource& random);

//! As Place; returns the index in `options`.
std::size_t ChoosePlacement(const std::vector<PlacementOption>& options,
                            const PromptGroup& group,
                            RandomSource& random);

}  // namespace tamarackwing::policy
