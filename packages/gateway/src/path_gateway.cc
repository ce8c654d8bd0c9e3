#include "tamarackwing/gateway/path_gateway.h"

#include <utility>

#include "caller_bounds.h"
#include "path_request.h"
#include "tamarackwing/http/io_threads.h"

namespace tamarackwing::gateway {

PathGateway::PathGateway(PathGatewayDependencies dependencies,
                         GatewaySettings settings)
    : dependencies(dependencies),
      settings(std::move(settings)),
      pools(this->dependencies.threads.All(), this->settings.pool) {}

PathGateway::~PathGateway() = default;

http::asio::awaitable<void> PathGateway::Serve(PathCall call,
                                               http::ResponseWriter& writer) {
  auto executor = co_await http::asio::this_coro::executor;
  auto request = std::make_shared<PathRequest>(
      *this, std::move(call), std::nullopt, writer, std::move(executor));
  co_await request->Run();
}

http::asio::awaitable<void> PathGateway::ServeForwarded(
    PathCall call,
    ForwardedCall origin,
    http::ResponseWriter& writer) {
  auto executor = co_await http::asio::this_coro::executor;
  auto request = std::make_shared<PathRequest>(
      *this, std::move(call), std::move(origin), writer, std::move(executor));
  co_await request->Run();
}

http::ServerLimits PathGateway::CallerLimits(
    const http::ServerLimits& listener) const {
  return BoundCallers(this->dependencies.snapshots.Get()->set->caller_limits,
                      listener);
}

http::ServerLimits PathGateway::ForwardLimits(
    const http::ServerLimits& listener) const {
  return BoundForwards(this->dependencies.snapshots.Get()->set->caller_limits,
                       listener);
}

bool PathGateway::IsReady() const {
  const auto snapshot = this->dependencies.snapshots.Get();
  return !this->IsDraining() && snapshot->ready && snapshot->set_number != 0;
}

void PathGateway::StartDrain(TimePoint refuse_from) {
  // The flag is set last: threads that see it read `refuse_at` without a lock.
  this->refuse_at = refuse_from;
  this->draining.store(true);
}

bool PathGateway::IsRefusing() const {
  return this->IsDraining() &&
         this->dependencies.clock.Now() >= this->refuse_at;
}

}  // namespace tamarackwing::gateway
