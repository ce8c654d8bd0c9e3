#include "tamarackwing/gateway/link_prober.h"

#include "tamarackwing/http/connection.h"

namespace tamarackwing::gateway {
namespace {

//! Max time in which a server of the region accepts a connection. A lost packet
//! makes a probe fail, but not a whole round.
constexpr std::chrono::milliseconds kProbeTimeout{400};

http::asio::awaitable<void> Probe(http::asio::io_context& context,
                                  ServerDirectory& servers,
                                  policy::ServerEndpoint server) {
  const http::Endpoint endpoint{server.address, server.port};
  const TimePoint deadline = std::chrono::steady_clock::now() + kProbeTimeout;
  http::Connection connection(context);
  const auto connected = co_await connection.Connect(endpoint, deadline);
  if (connected) {
    servers.NoteConnected();
  } else {
    servers.NoteProbeFailed(server.name);
  }
}

}  // namespace

LinkProber::LinkProber(http::asio::io_context& context,
                       ServerDirectory& servers)
    : context(context), servers(servers) {}

void LinkProber::Tick() {
  for (policy::ServerEndpoint& server : this->servers.ServersToProbe()) {
    http::asio::co_spawn(this->context,
                         Probe(this->context, this->servers, std::move(server)),
                         http::asio::detached);
  }
}

}  // namespace tamarackwing::gateway
