#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace tamarackwing::http {

//! The bounds of one listener.
struct ServerLimits {
  std::uint32_t head_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  std::size_t connections = 4096;
  //! The longest time from a head's first byte to its last, and for each write
  //! of an answer.
  std::chrono::milliseconds head_timeout{10'000};
  //! The longest time between requests, and for the body of one.
  std::chrono::milliseconds idle_timeout{60'000};
  std::chrono::milliseconds silence_timeout{10'000};
};

}  // namespace tamarackwing::http
