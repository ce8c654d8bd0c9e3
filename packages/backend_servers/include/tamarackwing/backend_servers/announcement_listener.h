#pragma once

#include "tamarackwing/http/whole_request_handler.h"

namespace tamarackwing::backend_servers {

class ServerRegistry;

//! HTTP handler of backend servers' requests: `POST /v1/servers` (announce,
//! renew, deregister) and `POST /v1/cache_events`.
class AnnouncementListener final : public http::WholeRequestHandler {
 public:
  //! Precondition: `registry` outlives the listener.
  explicit AnnouncementListener(ServerRegistry& registry);

  std::optional<http::Response> CheckHead(
      const http::RequestHead& head) override;
  http::asio::awaitable<void> Handle(http::Request request,
                                     http::ResponseWriter& writer) override;
  http::Response RejectFault(http::RequestFault fault) override;

 private:
  http::Response Apply(const http::Request& request);

  ServerRegistry& registry;
};

}  // namespace tamarackwing::backend_servers
