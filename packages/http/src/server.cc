#include "tamarackwing/http/server.h"

#include <utility>

#include "session.h"
#include "tamarackwing/http/handler.h"
#include "tamarackwing/http/io_threads.h"

namespace tamarackwing::http {
namespace {

constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

asio::awaitable<void> RunSession(std::shared_ptr<Session> session) {
  co_await session->Run();
}

}  // namespace

struct Server::Shared : SessionContext {};

Server::Server(IoThreads& threads, Handler& handler, ServerLimits limits)
    : threads(threads),
      shared(new Shared{{handler, limits}}),
      acceptor(*threads.All().front()) {}

Server::~Server() {
  this->StopAccepting();
}

Expected<std::uint16_t, ListenError> Server::Listen(const Endpoint& endpoint) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    return unexpected(ListenError::kBadAddress);
  }
  const asio::ip::tcp::endpoint local(address, endpoint.port);
  this->acceptor.open(local.protocol(), error);
  this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  this->acceptor.bind(local, error);
  if (error) {
    const bool in_use = error == asio::error::address_in_use;
    return unexpected(in_use ? ListenError::kAddressInUse
                             : ListenError::kOther);
  }
  this->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return unexpected(ListenError::kOther);
  }
  const std::uint16_t port = this->acceptor.local_endpoint().port();
  asio::co_spawn(this->acceptor.get_executor(), this->Accept(), asio::detached);
  return port;
}

asio::awaitable<void> Server::Accept() {
  const std::shared_ptr<Shared> state = this->shared;
  asio::steady_timer retry_timer(this->acceptor.get_executor());
  while (!state->stopping.load()) {
    asio::io_context& context = this->threads.Next();
    boost::system::error_code error;
    asio::ip::tcp::socket socket = co_await this->acceptor.async_accept(
        context, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted ||
        error == asio::error::bad_descriptor) {
      co_return;
    }
    if (error) {
      retry_timer.expires_after(kAcceptRetryDelay);
      co_await retry_timer.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    if (state->open.load() >= state->limits.connections) {
      socket.close(error);
      continue;
    }
    auto session = std::make_shared<Session>(std::move(socket), state);
    asio::co_spawn(context, RunSession(std::move(session)), asio::detached);
  }
}

void Server::StopKeepingAlive() {
  this->shared->closing.store(true);
}

void Server::StopAccepting() {
  if (this->shared->stopping.exchange(true)) {
    return;
  }
  ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
}

std::size_t Server::OpenConnections() const {
  return this->shared->open.load();
}

}  // namespace tamarackwing::http
