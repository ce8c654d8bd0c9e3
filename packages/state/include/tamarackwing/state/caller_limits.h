#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace tamarackwing::state {

//! Size and time limits for callers' requests. An absent limit falls back to
//! the host's settings.
struct CallerLimits {
  //! Maximum size of a request head, in bytes.
  std::optional<std::uint32_t> head_bytes;
  //! Maximum size of a request body, in bytes.
  std::optional<std::uint64_t> body_bytes;
  //! Maximum time from the first byte of a request head to its last.
  std::optional<std::chrono::milliseconds> head_timeout;
  //! Maximum time that a connection may stay idle between requests.
  std::optional<std::chrono::milliseconds> idle_timeout;

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

}  // namespace tamarackwing::state
