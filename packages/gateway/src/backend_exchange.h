#pragma once

#include <string>
#include <string_view>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/http/endpoint.h"
#include "tamarackwing/http/message.h"
#include "tamarackwing/policy/server_table.h"

namespace tamarackwing::gateway {

//! Tokens that a request to a plain service counts for.
inline constexpr TokenCount kServiceTokens = 1;
//! Servers that one request tries.
inline constexpr int kMaxTries = 3;
//! The content type of a stream of events.
inline constexpr std::string_view kEventStream = "text/event-stream";

//! Where a chosen server takes requests. Thread safety: reentrant.
http::Endpoint EndpointOf(const policy::ServerChoice& choice);

//! What a finished try of this host's own protocol tells of its server.
//! Thread safety: reentrant.
policy::HealthSignal HealthSignalOf(bool failed);

//! The content type of an answer. Thread safety: reentrant.
std::string ContentType(const http::ResponseHead& head);

//! What of an answer's head goes on to the caller. Thread safety: reentrant.
http::ResponseHead PassedHead(const http::ResponseHead& head);

//! The value of a Host header. Thread safety: reentrant.
std::string Authority(const http::Endpoint& endpoint);

}  // namespace tamarackwing::gateway
