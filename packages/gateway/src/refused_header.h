#pragma once

#include <optional>

#include "tamarackwing/base/refusal.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::gateway {

//! Marks an answer to a forwarded call as this system's own refusal, so that
//! the host that forwarded it does not take it for a server's answer.
//! Thread safety: reentrant.
void AddRefusedHeader(const Refusal& refusal, http::Headers& headers);

//! Reads the mark: whether the call ran, and when to come back.
//! Thread safety: reentrant.
std::optional<Refusal> ReadRefusedHeader(const http::Headers& headers);

}  // namespace tamarackwing::gateway
