#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/base/refusal.h"
#include "tamarackwing/base/trace_context.h"

namespace tamarackwing::http {
struct RequestHead;
}

namespace tamarackwing::callers {

//! Kind of resource that a caller's request path addresses.
enum class CallerTarget { kModel, kService, kDirectory, kMetrics };

//! Validated head of a caller's request.
struct CallerHead {
  CallerTarget target = CallerTarget::kModel;
  std::string method;
  //! Path that is sent to the backend server. The `/services/ROUTE` prefix of a
  //! service request is removed.
  std::string path;
  //! Taken from the path or the `Tamarackwing-Route` header; empty if neither
  //! names a route.
  RouteName route;
  std::optional<std::string> key;
  std::optional<std::string> idempotency_key;
  //! Time limit from the `Request-Timeout` header.
  std::optional<std::chrono::milliseconds> deadline;
  std::optional<TraceContext> trace;
};

//! Parses the head of a caller's request. Errors: kDeadlineInvalid,
//! kIdempotencyKeyInvalid, kKeyInvalid, kLoop, kMalformedRequest,
//! kUnknownRoute. Thread safety: reentrant.
Expected<CallerHead, RefusalCode> ParseCallerHead(
    const http::RequestHead& head);

//! Header that marks a request which a host sent to a backend server or to
//! another host. A caller's request that carries it is refused as a loop.
inline constexpr const char* kHopHeader = "Tamarackwing-Hop";

}  // namespace tamarackwing::callers
