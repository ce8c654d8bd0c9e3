//! Implements how ServedRequest forwards a request to another region.

#include <utility>

#include "backend_exchange.h"
#include "served_request.h"
#include "tamarackwing/gateway/forward_headers.h"
#include "tamarackwing/http/response_writer.h"

namespace tamarackwing::gateway {
namespace {

using http::ConnectionError;

}  // namespace

bool ServedRequest::ShouldForward() {
  if (this->forwarded || !this->route->idempotent) {
    return false;
  }
  const GatewayDependencies& dependencies = this->gateway.Dependencies();
  const auto expected = dependencies.servers.ExpectedTime(this->Query());
  const TimePoint now = dependencies.clock.Now();
  const Duration service_time = expected.value_or(Duration::zero());
  const Duration wait =
      dependencies.gate.EstimateWait(this->target, this->grant.workspace);
  const bool local_in_time =
      expected && now + wait + service_time <= this->deadline;
  this->PickForwardTarget();
  if (!this->forward_target) {
    return false;
  }
  const Duration remote_wait = this->forward_target->expected;
  const bool remote_in_time =
      now + remote_wait + service_time <= this->deadline;
  if (!local_in_time) {
    return remote_in_time;
  }
  // The service time is the same in both regions; only the queueing time and
  // the network latency differ.
  const auto margin = this->gateway.Settings().spill_margin_percent;
  const Duration queue = dependencies.gate.EstimateQueueWait(this->target);
  return remote_in_time && remote_wait + service_time * margin / 100 < queue;
}

void ServedRequest::PickForwardTarget() {
  for (ForwardTarget& candidate :
       this->gateway.Dependencies().regions.Candidates(this->target)) {
    if (MayRunIn(*this->snapshot, this->grant.workspace, *this->route,
                 candidate.region)) {
      this->forward_target = std::move(candidate);
      return;
    }
  }
}

http::asio::awaitable<ServedRequest::Outcome> ServedRequest::Forward() {
  const GatewayDependencies& dependencies = this->gateway.Dependencies();
  dependencies.metrics.Count("tamarackwing_forwarded_total");
  const http::Endpoint endpoint = this->forward_target->endpoint;
  this->peer = this->forward_target->host.Text();
  policy::ServerChoice choice;
  choice.address = endpoint.address;
  choice.port = endpoint.port;
  choice.expected = this->forward_target->expected;
  backend_servers::ConnectionPool& pool = this->gateway.PoolOf(this->executor);
  auto acquired = co_await pool.Acquire(endpoint, this->deadline,
                                        backend_servers::kAnyIdle);
  if (!acquired) {
    co_return RefuseNotRun(RefusalCode::kNoBackendServer);
  }
  backend_servers::PooledConnection connection = std::move(*acquired);
  this->current_connection = connection.connection.get();
  http::Request forward = this->BackendRequest(endpoint);
  if (this->route->kind == state::RouteKind::kService) {
    forward.head.target =
        "/services/" + this->route->name.Text() + this->request.head.path;
  }
  ForwardHeaders headers;
  headers.secret = this->gateway.Settings().cluster_secret;
  headers.workspace = this->grant.workspace;
  headers.key = this->grant.key;
  headers.origin = this->gateway.Settings().host;
  AddForwardHeaders(headers, forward.head.headers);
  const auto sent =
      co_await connection.connection->Send(std::move(forward), this->deadline);
  Expected<http::ResponseHead, ConnectionError> head =
      unexpected(ConnectionError::kSendFailed);
  if (sent) {
    head = co_await connection.connection->ReadHead(this->deadline);
  }
  if (!head) {
    this->current_connection = nullptr;
    co_return this->ConnectionErrorRefusal(head.error());
  }
  TryOutcome outcome;
  if (ContentType(*head).starts_with(kEventStream)) {
    outcome = co_await this->RelayStream(choice, *connection.connection,
                                         std::move(*head));
  } else {
    outcome = co_await this->RelayFullResponse(endpoint, *connection.connection,
                                               std::move(*head));
  }
  this->current_connection = nullptr;
  pool.Release(endpoint, std::move(connection));
  co_return outcome.refusal;
}

}  // namespace tamarackwing::gateway
