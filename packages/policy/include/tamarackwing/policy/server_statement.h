#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace tamarackwing::policy {

//! What a server says about a rate of its own: its value, or that there is
//! none. A value that cannot be read says nothing.
struct RateStatement {
  bool is_made = false;
  std::optional<std::uint64_t> per_kilosecond;
};

//! Whether a server accepted a request.
enum class Acceptance {
  kAccepted,
  //! It did not run the request, for a reason other than lack of room.
  kNotRun,
  //! It had no room for the request.
  kRejected,
};

//! What the head of an answer says about its server.
struct ServerStatement {
  Acceptance acceptance = Acceptance::kAccepted;
  //! The server is shutting down and wants no new requests.
  bool leaving = false;
  //! For how long the server wants no requests from this host; positive.
  std::optional<std::chrono::milliseconds> pause;
  //! Requests per 1000 seconds that the server takes from all hosts together.
  RateStatement limit;
  //! Rejections per 1000 seconds that the server bears without falling over.
  RateStatement tolerance;
  //! Fields whose values could not be read.
  std::uint32_t unreadable = 0;
};

}  // namespace tamarackwing::policy
