#pragma once

#include <memory>
#include <string>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/message.h"
#include "tamarackwing/http/response_writer.h"
#include "tamarackwing/http/server_limits.h"

namespace tamarackwing::http {

//! Reason why the server could not read a request. kSlow: the head or the body
//! was not complete within its time limit.
enum class RequestFault { kMalformed, kHeadTooLarge, kBodyTooLarge, kSlow };

//! Interface: one request whose head was accepted, together with the state that
//! the handler derived from the head.
//! Not thread-safe.
class Exchange {
 public:
  virtual ~Exchange() = default;
  //! Serves the request. If it returns without having written a complete
  //! response, the connection is closed. Precondition: called at most once.
  virtual asio::awaitable<void> Serve(std::string body,
                                      ResponseWriter& writer) = 0;
};

//! Interface: handles the requests of one listener.
//! Thread safety: called from every traffic thread.
class Handler {
 public:
  virtual ~Handler() = default;
  //! Returns the limits for reading the next request; `listener` holds the
  //! limits that the listener was created with, which apply to everything else.
  virtual ServerLimits LimitsNow(const ServerLimits& listener) const {
    return listener;
  }
  //! Checks the head before the body is read. Returns the exchange that serves
  //! the request, or a response that refuses it.
  virtual Expected<std::unique_ptr<Exchange>, Response> Accept(
      RequestHead head) = 0;
  //! Returns the response to a request that could not be read.
  virtual Response RejectFault(RequestFault fault) = 0;
};

}  // namespace tamarackwing::http
