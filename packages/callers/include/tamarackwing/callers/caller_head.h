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

//! What a caller asks for by its path.
enum class CallerTarget { kModel, kService, kDirectory, kMetrics };

//! The head of a caller's request, checked.
struct CallerHead {
  CallerTarget target = CallerTarget::kModel;
  std::string method;
  //! The path as it goes to the backend server.
  std::string path;
  //! Known from the path or the `Tamarackwing-Route` header; empty elsewhere.
  RouteName route;
  std::optional<std::string> key;
  std::optional<std::string> idempotency_key;
  std::optional<std::chrono::milliseconds> deadline;
  std::optional<TraceContext> trace;
};

//! Reads the head of a caller's request. Errors: kDeadlineInvalid,
//! kIdempotencyKeyInvalid, kKeyInvalid, kLoop, kMalformedRequest,
//! kUnknownRoute. Thread safety: reentrant.
Expected<CallerHead, RefusalCode> ParseCallerHead(
    const http::RequestHead& head);

//! The header that marks a request which a host sent to a backend server or to
//! another host; a caller's request that carries it is a loop.
inline constexpr const char* kHopHeader = "Tamarackwing-Hop";

}  // namespace tamarackwing::callers
