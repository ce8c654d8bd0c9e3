#pragma once

#include <map>
#include <memory>
#include <vector>

#include "tamarackwing/backend_servers/connection_pool.h"

namespace tamarackwing::backend_servers {

//! Set of connection pools, one for each io_context of the traffic threads.
//! Thread safety: a pool may be used only from its own thread.
class ConnectionPools {
 public:
  using Contexts = std::vector<std::unique_ptr<http::asio::io_context>>;

  //! Precondition: `contexts` outlives the pools.
  ConnectionPools(const Contexts& contexts, PoolLimits limits);

  //! Returns the pool of the executor's io_context.
  //! Precondition: that context is one of `contexts`.
  ConnectionPool& Of(const http::asio::any_io_executor& executor);

 private:
  std::map<http::asio::execution_context*, ConnectionPool> pools;
};

}  // namespace tamarackwing::backend_servers
