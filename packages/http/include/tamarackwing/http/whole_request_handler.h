#pragma once

#include <memory>
#include <optional>

#include "tamarackwing/http/handler.h"

namespace tamarackwing::http {

//! Interface: a handler that keeps nothing of the head but the head itself.
//! Thread safety: as for Handler.
class WholeRequestHandler : public Handler {
 public:
  Expected<std::unique_ptr<Exchange>, Response> Accept(RequestHead head) final;
  //! Decides on the head; a response refuses it.
  virtual std::optional<Response> CheckHead(const RequestHead& head) = 0;
  //! Serves a request whose head was accepted.
  virtual asio::awaitable<void> Handle(Request request,
                                       ResponseWriter& writer) = 0;
};

}  // namespace tamarackwing::http
