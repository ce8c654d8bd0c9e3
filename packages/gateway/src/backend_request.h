#pragma once

#include <string>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/base/trace_context.h"
#include "tamarackwing/callers/caller_service.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::gateway {

//! What a backend server is told beside the request itself.
struct BackendRequestContext {
  WorkspaceName workspace;
  TraceContext trace;
  std::chrono::milliseconds time_left{0};
  HostName host;
  std::string authority;
};

//! Builds what goes to a backend server: named headers only, never the key.
//! Thread safety: reentrant.
http::Request MakeBackendRequest(const callers::CallerRequest& request,
                                 const BackendRequestContext& context);

//! Whether the caller's key stands in the part of the request that would go to
//! a backend server. Thread safety: reentrant.
bool CarriesKey(const callers::CallerRequest& request);

//! The tokens that an answer says it used, or `otherwise`.
//! Thread safety: reentrant.
TokenCount UsedTokens(const std::string& body, TokenCount otherwise);

}  // namespace tamarackwing::gateway
