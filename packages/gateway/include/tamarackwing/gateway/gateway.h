#pragma once

#include <atomic>
#include <vector>

#include "tamarackwing/backend_servers/connection_pools.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/metrics.h"
#include "tamarackwing/base/span.h"
#include "tamarackwing/callers/caller_service.h"
#include "tamarackwing/gateway/active_requests.h"
#include "tamarackwing/gateway/admission_gate.h"
#include "tamarackwing/gateway/gateway_settings.h"
#include "tamarackwing/gateway/request_count.h"
#include "tamarackwing/gateway/server_directory.h"
#include "tamarackwing/gateway/snapshot_holder.h"
#include "tamarackwing/gateway/traffic_dependencies.h"

namespace tamarackwing::gateway {

class OperationPermits;

//! Dependencies of a gateway; all of them must outlive it.
struct GatewayDependencies : TrafficDependencies {
  AdmissionGate& gate;
  ActiveRequests& active;
  OperationPermits& permits;
};

//! Serves the requests of callers: authorizes, admits and routes them, and
//! writes the responses. Thread safety: as for callers::CallerService.
class Gateway final : public callers::CallerService {
 public:
  Gateway(GatewayDependencies dependencies, GatewaySettings settings);
  ~Gateway() override;

  http::ServerLimits LimitsNow(
      const http::ServerLimits& listener) const override;
  std::optional<Refusal> CheckHead(const callers::CallerHead& head) override;
  http::asio::awaitable<void> Serve(callers::CallerRequest request,
                                    http::ResponseWriter& writer) override;

  //! Serves a request that another host forwarded on behalf of a workspace.
  http::asio::awaitable<void> ServeForwarded(callers::CallerRequest request,
                                             WorkspaceName workspace,
                                             KeyDigest key,
                                             http::ResponseWriter& writer);
  //! Starts to refuse new requests. Thread safety: from any thread.
  void StartDrain();
  //! Returns whether new requests are refused. Thread safety: from any thread.
  bool IsDraining() const { return this->draining.load(); }

  //! Returns the number of requests in progress, including operations that
  //! continue without their callers. Thread safety: from any thread.
  std::size_t InFlight() const { return this->requests.Now(); }
  //! Returns the counter of requests in progress. Thread safety: from any
  //! thread.
  RequestCount& Requests() { return this->requests; }
  //! Thread safety: from any thread; for the use of a dependency see its own
  //! documentation.
  const GatewayDependencies& Dependencies() const { return this->dependencies; }
  //! Thread safety: from any thread.
  const GatewaySettings& Settings() const { return this->settings; }
  //! Returns the connection pool of the calling traffic thread.
  backend_servers::ConnectionPool& PoolOf(
      const http::asio::any_io_executor& executor) {
    return this->pools.Of(executor);
  }
  //! Returns a unique number for a queued request. Thread safety: from any
  //! thread.
  std::uint64_t NextRequest() { return this->next_request.fetch_add(1); }
  //! Returns the hosts that a caller of this workspace should try, best first.
  std::vector<HostName> HostsFor(const state::Snapshot& snapshot,
                                 const WorkspaceName& workspace) const;

 private:
  http::asio::awaitable<void> ServeDirectory(const callers::CallerHead& head,
                                             http::ResponseWriter& writer);

  GatewayDependencies dependencies;
  GatewaySettings settings;
  std::atomic<bool> draining{false};
  RequestCount requests;
  std::atomic<std::uint64_t> next_request{1};
  backend_servers::ConnectionPools pools;
};

}  // namespace tamarackwing::gateway
