#include "tamarackwing/gateway/gateway.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "caller_bounds.h"
#include "served_request.h"
#include "tamarackwing/base/digest.h"
#include "tamarackwing/callers/refusal_response.h"
#include "tamarackwing/gateway/authorizer.h"
#include "tamarackwing/http/io_threads.h"
#include "tamarackwing/http/response_writer.h"
#include "tamarackwing/policy/host_order.h"

namespace tamarackwing::gateway {
namespace {

constexpr unsigned kOk = 200;

const state::Workspace* FindWorkspace(const state::Snapshot& snapshot,
                                      const WorkspaceName& name) {
  const auto found = snapshot.set->workspaces.find(name);
  return found == snapshot.set->workspaces.end() ? nullptr : &found->second;
}

bool IsIn(const std::vector<RegionName>& regions, const RegionName& region) {
  return std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

Gateway::Gateway(GatewayDependencies dependencies, GatewaySettings settings)
    : dependencies(dependencies),
      settings(std::move(settings)),
      pools(this->dependencies.threads.All(), this->settings.pool) {}

Gateway::~Gateway() = default;

http::ServerLimits Gateway::LimitsNow(
    const http::ServerLimits& listener) const {
  return BoundCallers(this->dependencies.snapshots.Get()->set->caller_limits,
                      listener);
}

std::optional<Refusal> Gateway::CheckHead(const callers::CallerHead& head) {
  if (head.target == callers::CallerTarget::kMetrics) {
    return std::nullopt;
  }
  const auto snapshot = this->dependencies.snapshots.Get();
  if (this->IsDraining() && head.target != callers::CallerTarget::kDirectory) {
    return RefuseNotRun(RefusalCode::kDraining);
  }
  Grant grant;
  if (head.key) {
    const auto checked =
        AuthorizeKey(*snapshot, DigestKey(*head.key), this->settings.region,
                     this->dependencies.freshness_clock.Now());
    if (!checked) {
      return RefuseNotRun(checked.error());
    }
    grant = *checked;
  }
  if (head.route.IsEmpty()) {
    return std::nullopt;
  }
  const auto route = FindRoute(*snapshot, head.route);
  if (!route) {
    return RefuseNotRun(route.error());
  }
  if (!head.key && !(*route)->open) {
    return RefuseNotRun(RefusalCode::kKeyInvalid);
  }
  if (!MayRunIn(*snapshot, grant.workspace, **route, this->settings.region)) {
    Refusal refusal = RefuseNotRun(RefusalCode::kResidency);
    refusal.hosts = this->HostsFor(*snapshot, grant.workspace);
    return refusal;
  }
  return std::nullopt;
}

http::asio::awaitable<void> Gateway::Serve(callers::CallerRequest request,
                                           http::ResponseWriter& writer) {
  if (request.head.target == callers::CallerTarget::kMetrics) {
    co_await writer.Send(http::MakeResponse(
        kOk, "text/plain", this->dependencies.metrics.Render()));
    co_return;
  }
  if (request.head.target == callers::CallerTarget::kDirectory) {
    co_await this->ServeDirectory(request.head, writer);
    co_return;
  }
  auto executor = co_await http::asio::this_coro::executor;
  auto served = std::make_shared<ServedRequest>(*this, std::move(request),
                                                std::nullopt, writer, executor);
  co_await served->Run();
}

http::asio::awaitable<void> Gateway::ServeForwarded(
    callers::CallerRequest request,
    WorkspaceName workspace,
    KeyDigest key,
    http::ResponseWriter& writer) {
  auto executor = co_await http::asio::this_coro::executor;
  std::optional<ForwardedIdentity> identity;
  identity.emplace(ForwardedIdentity{std::move(workspace), std::move(key)});
  auto served = std::make_shared<ServedRequest>(
      *this, std::move(request), std::move(identity), writer, executor);
  co_await served->Run();
}

void Gateway::StartDrain() {
  this->draining.store(true);
}

std::vector<HostName> Gateway::HostsFor(const state::Snapshot& snapshot,
                                        const WorkspaceName& name) const {
  std::vector<HostName> preferred;
  std::vector<HostName> others;
  const state::Workspace* workspace = FindWorkspace(snapshot, name);
  if (workspace == nullptr) {
    return preferred;
  }
  const auto rule = snapshot.set->residency_rules.find(workspace->residency);
  for (const auto& [host, record] : *snapshot.hosts) {
    const bool permitted = rule != snapshot.set->residency_rules.end() &&
                           IsIn(rule->second.regions, record.region);
    if (!permitted || record.draining || !snapshot.live.contains(host)) {
      continue;
    }
    const bool home = IsIn(workspace->home_regions, record.region);
    const bool own = record.region == this->settings.region;
    (own && home ? preferred : others).push_back(host);
  }
  std::vector<HostName> ordered =
      policy::OrderHosts(name, std::move(preferred));
  for (HostName& host : policy::OrderHosts(name, std::move(others))) {
    ordered.push_back(std::move(host));
  }
  return ordered;
}

http::asio::awaitable<void> Gateway::ServeDirectory(
    const callers::CallerHead& head,
    http::ResponseWriter& writer) {
  const auto snapshot = this->dependencies.snapshots.Get();
  if (!head.key) {
    co_await writer.Send(
        callers::MakeRefusalResponse(RefuseNotRun(RefusalCode::kKeyInvalid)));
    co_return;
  }
  const auto grant =
      AuthorizeKey(*snapshot, DigestKey(*head.key), this->settings.region,
                   this->dependencies.freshness_clock.Now());
  if (!grant) {
    co_await writer.Send(
        callers::MakeRefusalResponse(RefuseNotRun(grant.error())));
    co_return;
  }
  nlohmann::ordered_json body;
  body["ttl_ms"] = this->settings.directory_time_to_live.count();
  body["hosts"] = nlohmann::json::array();
  for (const HostName& host : this->HostsFor(*snapshot, grant->workspace)) {
    const state::HostRecord& record = snapshot->hosts->at(host);
    body["hosts"].push_back({{"name", host.Text()},
                             {"region", record.region.Text()},
                             {"address", record.caller_address},
                             {"port", record.caller_port}});
  }
  co_await writer.Send(
      http::MakeResponse(kOk, "application/json", body.dump()));
}

}  // namespace tamarackwing::gateway
