#pragma once

#include <optional>
#include <string>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::gateway {

//! What one host tells another with a forwarded request. The key's digest goes
//! along so that the far host checks it under its own newest set; the key
//! itself does not.
struct ForwardHeaders {
  std::string secret;
  WorkspaceName workspace;
  KeyDigest key;
  HostName origin;
};

//! Adds the headers. Thread safety: reentrant.
void AddForwardHeaders(const ForwardHeaders& values, http::Headers& headers);

//! Reads them where the secret matches. Thread safety: reentrant.
std::optional<ForwardHeaders> ReadForwardHeaders(const http::Headers& headers,
                                                 const std::string& secret);

}  // namespace tamarackwing::gateway
