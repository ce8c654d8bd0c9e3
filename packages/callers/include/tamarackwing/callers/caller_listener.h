#pragma once

#include "tamarackwing/http/handler.h"

namespace tamarackwing::callers {

class CallerService;

//! HTTP handler that parses callers' requests, passes them to the service and
//! turns refusals into responses.
class CallerListener final : public http::Handler {
 public:
  //! Precondition: `service` outlives the listener.
  explicit CallerListener(CallerService& service);

  http::ServerLimits LimitsNow(
      const http::ServerLimits& listener) const override;
  Expected<std::unique_ptr<http::Exchange>, http::Response> Accept(
      http::RequestHead head) override;
  http::Response RejectFault(http::RequestFault fault) override;

 private:
  CallerService& service;
};

}  // namespace tamarackwing::callers
