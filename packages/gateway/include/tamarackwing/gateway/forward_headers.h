#pragma once

#include <optional>
#include <string>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/http/message.h"
#include "tamarackwing/policy/stream_origin.h"

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
  //! Where the stream began that the request goes on with, if it does.
  std::optional<policy::StreamOrigin> stream;
};

//! Adds the headers of a forwarded request. Thread safety: reentrant.
void AddForwardHeaders(const ForwardHeaders& values, http::Headers& headers);

//! Reads the headers of a forwarded request. Returns nothing if `secret` is
//! empty or differs from the one sent. Thread safety: reentrant.
std::optional<ForwardHeaders> ReadForwardHeaders(const http::Headers& headers,
                                                 const std::string& secret);

//! Adds to a response where its stream begins, for the forwarding host.
//! Thread safety: reentrant.
void AddStreamOrigin(const policy::StreamOrigin& origin,
                     http::Headers& headers);

//! Reads the header of AddStreamOrigin. Thread safety: reentrant.
std::optional<policy::StreamOrigin> ReadStreamOrigin(
    const http::Headers& headers);

//! Returns the headers without that of AddStreamOrigin. Thread safety:
//! reentrant.
http::Headers WithoutStreamOrigin(const http::Headers& headers);

}  // namespace tamarackwing::gateway
