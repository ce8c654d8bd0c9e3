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

//! What a gateway works with; everything outlives it.
struct GatewayDependencies : TrafficDependencies {
  AdmissionGate& gate;
  ActiveRequests& active;
  OperationPermits& permits;
};

//! Serves callers: checks, admits, routes and answers their requests.
//! Thread safety: as for callers::CallerService.
class Gateway final : public callers::CallerService {
 public:
  Gateway(GatewayDependencies dependencies, GatewaySettings settings);
  ~Gateway() override;

  http::ServerLimits LimitsNow(
      const http::ServerLimits& listener) const override;
  std::optional<Refusal> CheckHead(const callers::CallerHead& head) override;
  http::asio::awaitable<void> Serve(callers::CallerRequest request,
                                    http::ResponseWriter& writer) override;

  //! Serves a request that another host has forwarded for a workspace.
  http::asio::awaitable<void> ServeForwarded(callers::CallerRequest request,
                                             WorkspaceName workspace,
                                             KeyDigest key,
                                             http::ResponseWriter& writer);
  //! Refuses new requests from now on. Thread safety: from any thread.
  void StartDrain();
  //! Whether new requests are refused. Thread safety: from any thread.
  bool IsDraining() const { return this->draining.load(); }

  //! Requests under way, operations that outlive their callers included.
  //! Thread safety: from any thread.
  std::size_t InFlight() const { return this->requests.Now(); }
  //! Where requests under way are counted. Thread safety: from any thread.
  RequestCount& Requests() { return this->requests; }
  //! The parts. Thread safety: as for each part.
  const GatewayDependencies& Dependencies() const { return this->dependencies; }
  //! The settings. Thread safety: from any thread.
  const GatewaySettings& Settings() const { return this->settings; }
  //! The pool of the calling traffic thread's context.
  backend_servers::ConnectionPool& PoolOf(
      const http::asio::any_io_executor& executor) {
    return this->pools.Of(executor);
  }
  //! A number for a request that waits. Thread safety: from any thread.
  std::uint64_t NextRequest() { return this->next_request.fetch_add(1); }
  //! Hosts that a caller of this workspace should try, best first.
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
