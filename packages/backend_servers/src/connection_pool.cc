#include "tamarackwing/backend_servers/connection_pool.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace tamarackwing::backend_servers {

ConnectionPool::ConnectionPool(http::asio::io_context& context,
                               PoolLimits limits)
    : context(context), limits(limits) {}

http::asio::awaitable<Expected<PooledConnection, http::ConnectionError>>
ConnectionPool::Acquire(http::Endpoint endpoint,
                        TimePoint deadline,
                        std::chrono::milliseconds max_idle,
                        bool accepts_unnamed) {
  const TimePoint now = std::chrono::steady_clock::now();
  std::deque<Idle>& connections = this->idle[endpoint];
  std::size_t at = max_idle.count() > 0 ? connections.size() : 0;
  std::optional<TimePoint> lost_idle;
  while (at > 0) {
    at -= 1;
    const Duration idle = now - connections[at].idle_since;
    const bool is_expired = idle >= connections[at].max_idle;
    const bool is_for_others =
        (max_idle != kAnyIdle && idle >= max_idle) ||
        (!accepts_unnamed && connections[at].had_unnamed_answer);
    if (!is_expired && is_for_others) {
      continue;
    }
    Idle candidate = std::move(connections[at]);
    connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(at));
    if (!is_expired && candidate.connection->IsOpenAndIdle()) {
      co_return PooledConnection{
          std::move(candidate.connection), true,
          candidate.had_unnamed_answer,    candidate.opened,
          candidate.has_stated_timeout,    lost_idle};
    }
    if (!is_expired && candidate.has_stated_timeout &&
        candidate.connection->IsClosedByPeer()) {
      lost_idle = std::max(lost_idle.value_or(TimePoint()), candidate.opened);
    }
  }
  auto connection = std::make_unique<http::Connection>(this->context);
  const TimePoint connect_deadline =
      std::min(deadline, now + this->limits.connect_timeout);
  const auto connected =
      co_await connection->Connect(endpoint, connect_deadline);
  if (!connected) {
    co_return unexpected(connected.error());
  }
  co_return PooledConnection{std::move(connection),
                             false,
                             false,
                             std::chrono::steady_clock::now(),
                             true,
                             lost_idle};
}

http::asio::awaitable<bool> ConnectionPool::Replenish(http::Endpoint endpoint,
                                                      TimePoint deadline) {
  auto opened = co_await this->Acquire(endpoint, deadline, kFresh);
  if (opened) {
    this->Release(endpoint, std::move(*opened));
  }
  co_return opened.has_value();
}

void ConnectionPool::Release(const http::Endpoint& endpoint,
                             PooledConnection connection) {
  std::deque<Idle>& connections = this->idle[endpoint];
  if (!connection.connection->IsReusable() ||
      connections.size() >= this->limits.idle_per_server) {
    return;
  }
  const auto keep_alive_timeout = connection.connection->KeepAliveTimeout();
  Idle entry;
  entry.max_idle =
      std::min<Duration>(this->limits.max_idle_time,
                         keep_alive_timeout ? Duration(*keep_alive_timeout) / 2
                                            : this->limits.max_idle_time);
  entry.connection = std::move(connection.connection);
  entry.had_unnamed_answer = connection.had_unnamed_answer;
  entry.opened = connection.opened;
  entry.has_stated_timeout = keep_alive_timeout.has_value();
  entry.idle_since = std::chrono::steady_clock::now();
  connections.push_back(std::move(entry));
}

}  // namespace tamarackwing::backend_servers
