#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/http/endpoint.h"
#include "tamarackwing/http/message.h"
#include "tamarackwing/policy/server_table.h"

namespace tamarackwing::gateway {

//! Tokens charged for a request to a service that is not a model.
inline constexpr TokenCount kServiceTokens = 1;
//! Maximum number of servers tried for one request.
inline constexpr int kMaxTries = 3;
//! Maximum size of one server-sent event; bytes that are no event may come
//! without end.
inline constexpr std::size_t kMaxEventBytes = 1024 * 1024;
//! Content type of a stream of server-sent events.
inline constexpr std::string_view kEventStream = "text/event-stream";

//! Returns the endpoint of a chosen server. Thread safety: reentrant.
http::Endpoint EndpointOf(const policy::ServerChoice& choice);

//! Returns the health signal of a server after a try of a ServedRequest, for
//! which kinds of failure are not distinguished: kUnreachable if the try
//! failed, otherwise kAnswered. Thread safety: reentrant.
policy::HealthSignal HealthSignalOf(bool failed);

//! Returns the content type of a response; application/json if it names none.
//! Thread safety: reentrant.
std::string ContentType(const http::ResponseHead& head);

//! Returns the part of a response's head that is passed on to the caller: its
//! status and content type. Thread safety: reentrant.
http::ResponseHead RelayedHead(const http::ResponseHead& head);

//! Returns the Host header value for an endpoint. Thread safety: reentrant.
std::string Authority(const http::Endpoint& endpoint);

}  // namespace tamarackwing::gateway
