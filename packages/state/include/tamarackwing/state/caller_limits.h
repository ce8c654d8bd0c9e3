#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace tamarackwing::state {

//! What callers may send and how long they may take; what is absent is left to
//! the settings of the host.
struct CallerLimits {
  std::optional<std::uint32_t> head_bytes;
  std::optional<std::uint64_t> body_bytes;
  //! The longest time from a head's first byte to its last.
  std::optional<std::chrono::milliseconds> head_timeout;
  //! The longest time that a connection stays open between requests.
  std::optional<std::chrono::milliseconds> idle_timeout;

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

}  // namespace tamarackwing::state
