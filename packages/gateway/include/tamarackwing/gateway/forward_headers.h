#pragma once

#include <optional>
#include <string>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::gateway {

//! Values that a host adds to a request that it forwards to another host. The
//! key's digest is sent, so that the receiving host checks it against its own
//! newest configuration set; the key itself is not sent.
struct ForwardHeaders {
  //! The cluster secret, which proves that the request comes from a host.
  std::string secret;
  WorkspaceName workspace;
  KeyDigest key;
  //! The forwarding host.
  HostName origin;
};

//! Adds the headers of a forwarded request. Thread safety: reentrant.
void AddForwardHeaders(const ForwardHeaders& values, http::Headers& headers);

//! Reads the headers of a forwarded request. Returns nothing if `secret` is
//! empty or differs from the one sent. Thread safety: reentrant.
std::optional<ForwardHeaders> ReadForwardHeaders(const http::Headers& headers,
                                                 const std::string& secret);

}  // namespace tamarackwing::gateway
