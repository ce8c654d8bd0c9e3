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

//! How one server stands for one request.
struct PlacementOption {
  std::string_view server;
  //! For what the server has to do before.
  Duration wait{};
  //! The wait and what the request takes by itself.
  Duration cost{};
};

//! Prompts that begin alike.
struct PromptGroup {
  //! Digest of what they have in common; zero for a prompt by itself.
  std::uint64_t digest = 0;
  //! How long an engine takes to read that.
  Duration prefill_time{};
};

//! Chooses a server; returns its place in `options`.
//!
//! A prompt by itself goes to the better of two servers drawn from those that
//! are about as good as the best, so that hosts with the same late knowledge
//! don't all send to one.
//!
//! Prompts of a group answer the load pattern in which callers ask about the
//! same long texts, at rates near what the engines can read: an engine that
//! reads a text anew takes that time from all that wait there. They go to the
//! server that rendezvous hashing gives their group, the same one for all
//! hosts, and to the next one only while the first has so much more to do than
//! the least busy that waiting costs more than the reading is worth.
//!
//! Preconditions: `options` is not empty. Thread safety: as for `random`.
std::size_t ChoosePlacement(const std::vector<PlacementOption>& options,
                            const PromptGroup& group,
                            RandomSource& random);

}  // namespace tamarackwing::policy
