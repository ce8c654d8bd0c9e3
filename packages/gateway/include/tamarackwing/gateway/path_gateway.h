#pragma once

#include <atomic>
#include <optional>

#include "tamarackwing/backend_servers/connection_pools.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/metrics.h"
#include "tamarackwing/base/span.h"
#include "tamarackwing/gateway/gateway_settings.h"
#include "tamarackwing/gateway/path_call.h"
#include "tamarackwing/gateway/path_protocol.h"
#include "tamarackwing/gateway/request_count.h"
#include "tamarackwing/gateway/server_directory.h"
#include "tamarackwing/gateway/snapshot_holder.h"
#include "tamarackwing/gateway/traffic_dependencies.h"
#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/response_writer.h"
#include "tamarackwing/http/server_limits.h"

namespace tamarackwing::gateway {

//! Dependencies of a path gateway; all of them must outlive it.
struct PathGatewayDependencies : TrafficDependencies {
  const PathProtocol& protocol;
};

//! Serves path calls: finds the route, checks the key, the workspace's budget
//! and the residency rules, and sends the call to a server of this region or
//! forwards it, at most once, to a host of another region. Thread safety:
//! called from every traffic thread.
class PathGateway {
 public:
  PathGateway(PathGatewayDependencies dependencies, GatewaySettings settings);
  ~PathGateway();

  //! Serves a call received from a caller.
  http::asio::awaitable<void> Serve(PathCall call,
                                    http::ResponseWriter& writer);
  //! Serves a call forwarded by another host; it is not forwarded again.
  http::asio::awaitable<void> ServeForwarded(PathCall call,
                                             ForwardedCall origin,
                                             http::ResponseWriter& writer);

  //! Returns the current limits on callers' requests; `listener` has the
  //! defaults of their listener.
  http::ServerLimits CallerLimits(const http::ServerLimits& listener) const;
  //! Returns the current limits on calls forwarded by other hosts.
  http::ServerLimits ForwardLimits(const http::ServerLimits& listener) const;
  //! Returns whether this host can serve callers: a configuration set is in
  //! force and the host is not draining. Thread safety: from any thread.
  bool IsReady() const;
  //! Starts draining: the host is no longer ready, and from `refuse_at` on it
  //! refuses new calls so that those in progress can end.
  //! Thread safety: called at most once, from any thread.
  void StartDrain(TimePoint refuse_at);
  bool IsDraining() const { return this->draining.load(); }
  //! Returns whether new calls are refused. Thread safety: from any thread.
  bool IsRefusing() const;
  //! Returns the number of calls in progress. Thread safety: from any thread.
  std::size_t InFlight() const { return this->calls.Now(); }
  //! Returns the counter of calls in progress. Thread safety: from any thread.
  RequestCount& Calls() { return this->calls; }

  const PathGatewayDependencies& Dependencies() const {
    return this->dependencies;
  }
  const GatewaySettings& Settings() const { return this->settings; }
  //! Returns the connection pool of the calling traffic thread.
  backend_servers::ConnectionPool& PoolOf(
      const http::asio::any_io_executor& executor) {
    return this->pools.Of(executor);
  }
  //! Returns a different number on each call. Thread safety: from any thread.
  std::uint64_t NextNumber() { return this->next_number.fetch_add(1); }

 private:
  PathGatewayDependencies dependencies;
  GatewaySettings settings;
  std::atomic<bool> draining{false};
  TimePoint refuse_at;
  RequestCount calls;
  std::atomic<std::uint64_t> next_number{1};
  backend_servers::ConnectionPools pools;
};

}  // namespace tamarackwing::gateway
