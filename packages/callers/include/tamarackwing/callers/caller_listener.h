#pragma once

#include "tamarackwing/http/handler.h"

namespace tamarackwing::callers {

class CallerService;

//! Turns HTTP requests of callers into typed ones, and refusals into answers.
class CallerListener final : public http::Handler {
 public:
  //! Precondition: `service` outlives the listener.
  explicit CallerListener(CallerService& service);

  http::ServerLimits LimitsNow(
      const http::ServerLimits& listener) const override;
  std::optional<http::Response> CheckHead(
      const http::RequestHead& head) override;
  http::asio::awaitable<void> Handle(http::Request request,
                                     http::ResponseWriter& writer) override;
  http::Response RejectFault(http::RequestFault fault) override;

 private:
  CallerService& service;
};

}  // namespace tamarackwing::callers
