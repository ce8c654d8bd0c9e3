#pragma once

#include <optional>

#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/message.h"
#include "tamarackwing/http/response_writer.h"
#include "tamarackwing/http/server_limits.h"

namespace tamarackwing::http {

//! What a server could not read.
enum class RequestFault { kMalformed, kHeadTooLarge, kBodyTooLarge, kSlow };

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
  virtual std::optional<Response> CheckHead(const RequestHead& head) = 0;
  //! Serves one request. Whoever writes nothing has the connection closed.
  virtual asio::awaitable<void> Handle(Request request,
                                       ResponseWriter& writer) = 0;
  //! The answer to bytes that are no request.
  virtual Response RejectFault(RequestFault fault) = 0;
};

}  // namespace tamarackwing::http
