#include "tamarackwing/backend_servers/connection_pool.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::backend_servers {

ConnectionPool::ConnectionPool(http::asio::io_context& context,
                               PoolLimits limits)
    : context(context), limits(limits) {}

http::asio::awaitable<Expected<PooledConnection, http::ConnectionError>>
ConnectionPool::Acquire(http::Endpoint endpoint,
                        TimePoint deadline,
                        bool fresh) {
  const TimePoint now = std::chrono::steady_clock::now();
  std::deque<Idle>& connections = this->idle[endpoint];
  while (!fresh && !connections.empty()) {
    Idle candidate = std::move(connections.back());
    connections.pop_back();
    const bool young = now - candidate.since < this->limits.oldest;
    if (young && !candidate.connection->IsPeerClosed()) {
      co_return PooledConnection{std::move(candidate.connection), true};
    }
  }
  auto connection = std::make_unique<http::Connection>(this->context);
  const TimePoint connect_by =
      std::min(deadline, now + this->limits.connect_timeout);
  const auto connected = co_await connection->Connect(endpoint, connect_by);
  if (!connected) {
    co_return unexpected(connected.error());
  }
  co_return PooledConnection{std::move(connection), false};
}

void ConnectionPool::Release(const http::Endpoint& endpoint,
                             PooledConnection connection) {
  std::deque<Idle>& connections = this->idle[endpoint];
  if (!connection.connection->IsReusable() ||
      connections.size() >= this->limits.idle_per_server) {
    return;
  }
  connections.push_back(
      {std::move(connection.connection), std::chrono::steady_clock::now()});
}

}  // namespace tamarackwing::backend_servers
