#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/base/refusal.h"
#include "tamarackwing/gateway/path_call.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::gateway {

//! What a host adds to a call on its way to a server.
struct SendContext {
  //! The process that is meant; empty for another host.
  BackendServerName server;
  //! For whom it runs; empty for nobody.
  WorkspaceName workspace;
  std::chrono::milliseconds left{0};
  std::optional<std::uint64_t> last_event;
};

//! What the head of an answer says.
struct PathResponse {
  //! The server says that it did not run the request.
  bool not_run = false;
  //! It is another server than was meant, and did not run the request.
  bool other_server = false;
  //! The answer names this call.
  bool is_for_call = false;
  bool is_stream = false;
  //! The head that goes on to the caller.
  http::ResponseHead passed;
};

//! Interface: how path calls are written to servers and answers read.
//! Thread safety: called from every traffic thread.
class PathProtocol {
 public:
  virtual ~PathProtocol() = default;
  //! The request as a server takes it.
  virtual http::Request EncodeRequest(const PathCall& call,
                                      const SendContext& send) const = 0;
  //! Reads the head of a server's answer to `call`.
  virtual PathResponse ReadResponse(const PathCall& call,
                                    const http::ResponseHead& head) const = 0;
  //! A refusal as callers take it.
  virtual http::Response EncodeRefusal(const Refusal& refusal) const = 0;
};

}  // namespace tamarackwing::gateway
