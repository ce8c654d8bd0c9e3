#pragma once

#include <memory>
#include <string>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/message.h"
#include "tamarackwing/http/response_writer.h"
#include "tamarackwing/http/server_limits.h"

namespace tamarackwing::http {

//! What a server could not read.
enum class RequestFault { kMalformed, kHeadTooLarge, kBodyTooLarge, kSlow };

//! Interface: a request whose head was accepted, with what was read of it.
//! Not thread-safe.
class Exchange {
 public:
  virtual ~Exchange() = default;
  //! Serves the request. Whoever writes nothing has the connection closed.
  //! Precondition: called at most once.
  virtual asio::awaitable<void> Serve(std::string body,
                                      ResponseWriter& writer) = 0;
};

//! Interface: serves the requests of one listener.
//! Thread safety: called from every traffic thread.
class Handler {
 public:
  virtual ~Handler() = default;
  //! The bounds of the next request; `listener` has those of the listener.
  virtual ServerLimits LimitsNow(const ServerLimits& listener) const {
    return listener;
  }
  //! Decides on the head before the body is read; a response refuses it.
  virtual Expected<std::unique_ptr<Exchange>, Response> Accept(
      RequestHead head) = 0;
  //! The answer to bytes that are no request.
  virtual Response RejectFault(RequestFault fault) = 0;
};

}  // namespace tamarackwing::http
