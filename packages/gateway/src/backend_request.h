#pragma once

#include <string>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/base/trace_context.h"
#include "tamarackwing/callers/caller_service.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::gateway {

//! Values sent to a backend server in addition to the caller's request.
struct BackendRequestContext {
  WorkspaceName workspace;
  TraceContext trace;
  std::chrono::milliseconds time_left{0};
  HostName host;
  std::string authority;
};

//! Builds the request to a backend server, with a fixed list of headers and
//! without the caller's key.
//! Thread safety: reentrant.
http::Request MakeBackendRequest(const callers::CallerRequest& request,
                                 const BackendRequestContext& context);

//! Returns whether the caller's key occurs in the parts of the request that
//! would be sent to a backend server. Thread safety: reentrant.
bool CarriesKey(const callers::CallerRequest& request);

//! Returns the token usage reported in a response body, or `fallback` if there
//! is none. Thread safety: reentrant.
TokenCount UsedTokens(const std::string& body, TokenCount fallback);

}  // namespace tamarackwing::gateway
