#pragma once

#include <optional>

#include "tamarackwing/base/refusal.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::gateway {

//! Marks the response to a forwarded call as a refusal by this system, so that
//! the forwarding host does not mistake it for a backend server's response.
//! Thread safety: reentrant.
void AddRefusedHeader(const Refusal& refusal, http::Headers& headers);

//! Reads the mark: whether the call ran, and when to retry. Returns nothing if
//! the response is not a refusal.
//! Thread safety: reentrant.
std::optional<Refusal> ReadRefusedHeader(const http::Headers& headers);

}  // namespace tamarackwing::gateway
