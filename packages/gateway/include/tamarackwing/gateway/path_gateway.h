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

//! What a path gateway works with; everything outlives it.
struct PathGatewayDependencies : TrafficDependencies {
  const PathProtocol& protocol;
};

//! Serves path calls: finds the route, checks the key, the workspace's budget
//! and the residency, and sends the call to a server of this region or, once,
//! to a host of another. Thread safety: called from every traffic thread.
class PathGateway {
 public:
  PathGateway(PathGatewayDependencies dependencies, GatewaySettings settings);
  ~PathGateway();

  //! Serves a call of a caller.
  http::asio::awaitable<void> Serve(PathCall call,
                                    http::ResponseWriter& writer);
  //! Serves a call that another host has forwarded; it is not forwarded again.
  http::asio::awaitable<void> ServeForwarded(PathCall call,
                                             ForwardedCall origin,
                                             http::ResponseWriter& writer);

  //! What callers may send now; `listener` has the bounds of their listener.
  http::ServerLimits CallerLimits(const http::ServerLimits& listener) const;
  //! What hosts that forward calls may send now.
  http::ServerLimits ForwardLimits(const http::ServerLimits& listener) const;
  //! Whether callers may be sent here: a set is in force and this host does not
  //! drain. Thread safety: from any thread.
  bool IsReady() const;
  //! Says that this host is about to stop: it is no longer ready, and refuses
  //! new calls from `refuse_at` on, so that those under way can end.
  //! Thread safety: once, from any thread.
  void StartDrain(TimePoint refuse_at);
  bool IsDraining() const { return this->draining.load(); }
  //! Whether new calls are refused. Thread safety: from any thread.
  bool IsRefusing() const;
  //! Calls under way. Thread safety: from any thread.
  std::size_t InFlight() const { return this->calls.Now(); }
  //! Where calls under way are counted. Thread safety: from any thread.
  RequestCount& Calls() { return this->calls; }

  const PathGatewayDependencies& Dependencies() const {
    return this->dependencies;
  }
  const GatewaySettings& Settings() const { return this->settings; }
  //! The pool of the calling traffic thread's context.
  backend_servers::ConnectionPool& PoolOf(
      const http::asio::any_io_executor& executor) {
    return this->pools.Of(executor);
  }
  //! A different number for each call. Thread safety: from any thread.
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
