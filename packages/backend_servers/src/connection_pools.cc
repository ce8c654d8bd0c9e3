#include "tamarackwing/backend_servers/connection_pools.h"

namespace tamarackwing::backend_servers {

ConnectionPools::ConnectionPools(const Contexts& contexts, PoolLimits limits) {
  for (const auto& context : contexts) {
    this->pools.try_emplace(context.get(), *context, limits);
  }
}

ConnectionPool& ConnectionPools::Of(
    const http::asio::any_io_executor& executor) {
  return this->pools.at(&executor.context());
}

}  // namespace tamarackwing::backend_servers
