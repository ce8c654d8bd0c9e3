#pragma once

#include <memory>
#include <optional>

#include "tamarackwing/http/handler.h"

namespace tamarackwing::http {

//! Interface: a handler that buffers the complete request before it serves it,
//! and keeps no state per request besides the head.
//! Thread safety: as for Handler.
class WholeRequestHandler : public Handler {
 public:
  Expected<std::unique_ptr<Exchange>, Response> Accept(RequestHead head) final;
  //! Checks the head before the body is read. Returns a response to refuse the
  //! request, nullopt to accept it.
  virtual std::optional<Response> CheckHead(const RequestHead& head) = 0;
  //! Serves a complete request whose head was accepted.
  virtual asio::awaitable<void> Handle(Request request,
                                       ResponseWriter& writer) = 0;
};

}  // namespace tamarackwing::http
