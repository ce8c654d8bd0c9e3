#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

#include "tamarackwing/base/refusal.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::gateway {

//! What a host that refused a forwarded call tells the forwarding host.
struct ForwardRefusal {
  Ran ran = Ran::kUnknown;
  //! Whether the call was sent to a backend server, which may have rejected it.
  bool was_sent = true;
  std::chrono::milliseconds retry_after{0};
  //! Whether the refusal is one of the call that was asked for.
  bool is_for_call = true;
};

//! Marks the response to a forwarded call `id`, which was sent to backend
//! servers `sends` times, as a refusal by this system, so that the forwarding
//! host does not mistake it for a backend server's response. Thread safety:
//! reentrant.
void AddRefusedHeader(const Refusal& refusal,
                      std::size_t sends,
                      std::string_view id,
                      http::Headers& headers);

//! Reads the mark of a response to the forwarded call `id`. Returns nothing if
//! the response is not a refusal. Thread safety: reentrant.
std::optional<ForwardRefusal> ReadRefusedHeader(const http::Headers& headers,
                                                std::string_view id);

}  // namespace tamarackwing::gateway
