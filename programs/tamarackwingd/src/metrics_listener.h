#pragma once

#include "tamarackwing/base/metrics.h"
#include "tamarackwing/http/whole_request_handler.h"

namespace tamarackwing::daemon {

//! Serves the host's metrics as text on a separate listener.
//! Thread safety: as for http::Handler.
class MetricsListener final : public http::WholeRequestHandler {
 public:
  //! Precondition: `metrics` outlives the listener.
  explicit MetricsListener(const Metrics& metrics);

  std::optional<http::Response> CheckHead(
      const http::RequestHead& head) override;
  http::asio::awaitable<void> Handle(http::Request request,
                                     http::ResponseWriter& writer) override;
  http::Response RejectFault(http::RequestFault fault) override;

 private:
  const Metrics& metrics;
};

}  // namespace tamarackwing::daemon
