#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/connection.h"
#include "tamarackwing/http/endpoint.h"

namespace tamarackwing::backend_servers {

//! Limits of a connection pool.
struct PoolLimits {
  //! Maximum time that a connection may stay idle and still be reused.
  std::chrono::milliseconds max_idle_time{10'000};
  //! Maximum number of idle connections kept for one server.
  std::size_t idle_per_server = 32;
  std::chrono::milliseconds connect_timeout{2'000};
};

//! Value of Acquire's `max_idle`: never reuse a connection.
inline constexpr std::chrono::milliseconds kFresh{0};
//! Value of Acquire's `max_idle`: reuse a connection regardless of its idle
//! time, within the pool's limits.
inline constexpr std::chrono::milliseconds kAnyIdle =
    std::chrono::milliseconds::max();

//! Connection in use by one request.
struct PooledConnection {
  std::unique_ptr<http::Connection> connection;
  //! Whether the connection was taken from the pool. Such a connection may have
  //! stopped responding while it was idle.
  bool reused = false;
  //! Whether an answer that names no request has come on it. A later one that
  //! names none may be its copy.
  bool had_unnamed_answer = false;
  //! When it was opened.
  TimePoint opened;
  //! Whether the server had stated a time for which it keeps the connection
  //! open, which has not passed. Else it may close it as an idle one.
  bool is_kept_open = false;
  //! When the last of the idle connections was opened that the server was found
  //! to have closed before the time that it had stated; nullopt if none was.
  std::optional<TimePoint> lost_idle;
};

//! Pool of idle connections to backend servers, with a limited idle time.
//! Not thread-safe: each traffic thread has its own pool.
class ConnectionPool {
 public:
  ConnectionPool(http::asio::io_context& context, PoolLimits limits);

  //! Returns the most recently used connection that is still open, if it has
  //! been idle for less than `max_idle`, or opens a new one. If `max_idle` is
  //! zero, always opens a new one. Unless `accepts_unnamed`, does not reuse a
  //! connection on which an answer came that names no request.
  //! Errors: as for http::Connection::Connect.
  http::asio::awaitable<Expected<PooledConnection, http::ConnectionError>>
  Acquire(http::Endpoint endpoint,
          TimePoint deadline,
          std::chrono::milliseconds max_idle,
          bool accepts_unnamed = true);
  //! Opens a connection and keeps it as an idle one. Returns whether the server
  //! accepted it by `deadline`.
  http::asio::awaitable<bool> Replenish(http::Endpoint endpoint,
                                        TimePoint deadline);
  //! Returns a connection to the pool. Closes it if its last response was not
  //! read completely, if it cannot be reused or if the pool is full.
  void Release(const http::Endpoint& endpoint, PooledConnection connection);

 private:
  struct Idle {
    std::unique_ptr<http::Connection> connection;
    TimePoint idle_since;
    //! Not reused after this idle time, as the server may close it.
    Duration max_idle{};
    bool had_unnamed_answer = false;
    TimePoint opened;
    //! Whether the server has stated how long it keeps idle connections.
    bool has_stated_timeout = false;
  };

  http::asio::io_context& context;
  PoolLimits limits;
  std::map<http::Endpoint, std::deque<Idle>> idle;
};

}  // namespace tamarackwing::backend_servers
