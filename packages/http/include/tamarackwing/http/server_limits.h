#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace tamarackwing::http {

//! Limits of one listener.
struct ServerLimits {
  std::uint32_t head_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  //! Connections beyond this number are closed as soon as they are accepted.
  std::size_t connections = 4096;
  //! Maximum time from the first byte of a head to its last, and for each write
  //! of a response.
  std::chrono::milliseconds head_timeout{10'000};
  //! Maximum time that a connection waits for its next request, and maximum
  //! time for reading the body of a request.
  std::chrono::milliseconds idle_timeout{60'000};
  //! Maximum time that sent data may stay unacknowledged (TCP_USER_TIMEOUT).
  std::chrono::milliseconds silence_timeout{10'000};
};

}  // namespace tamarackwing::http
