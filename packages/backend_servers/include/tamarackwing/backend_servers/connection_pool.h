#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <memory>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/connection.h"
#include "tamarackwing/http/endpoint.h"

namespace tamarackwing::backend_servers {

//! Bounds of a pool.
struct PoolLimits {
  std::chrono::milliseconds oldest{10'000};
  std::size_t idle_per_server = 32;
  std::chrono::milliseconds connect_timeout{2'000};
};

//! Never reuses a connection.
inline constexpr std::chrono::milliseconds kFresh{0};
//! Reuses a connection however long it was idle, within the pool's limits.
inline constexpr std::chrono::milliseconds kAnyIdle =
    std::chrono::milliseconds::max();

//! A connection that a request holds.
struct PooledConnection {
  std::unique_ptr<http::Connection> connection;
  //! Whether it has served before, and so may have gone silent.
  bool reused = false;
};

//! Idle connections to backend servers, each of a bounded age.
//! Thread safety: one pool for each traffic thread.
class ConnectionPool {
 public:
  ConnectionPool(http::asio::io_context& context, PoolLimits limits);

  //! Gives a connection that has been idle for less than `max_idle`, or opens
  //! one; zero never reuses.
  //! Errors: as for http::Connection::Connect.
  http::asio::awaitable<Expected<PooledConnection, http::ConnectionError>>
  Acquire(http::Endpoint endpoint,
          TimePoint deadline,
          std::chrono::milliseconds max_idle);
  //! Takes a connection back where its last answer was whole.
  void Release(const http::Endpoint& endpoint, PooledConnection connection);

 private:
  struct Idle {
    std::unique_ptr<http::Connection> connection;
    TimePoint since;
    //! The server may close it after this.
    Duration max_idle{};
  };

  http::asio::io_context& context;
  PoolLimits limits;
  std::map<http::Endpoint, std::deque<Idle>> idle;
};

}  // namespace tamarackwing::backend_servers
