#pragma once

#include <map>
#include <memory>
#include <vector>

#include "tamarackwing/backend_servers/connection_pool.h"

namespace tamarackwing::backend_servers {

//! A pool for each of the traffic threads' contexts.
//! Thread safety: each pool only from its own thread.
class ConnectionPools {
 public:
  using Contexts = std::vector<std::unique_ptr<http::asio::io_context>>;

  //! Precondition: `contexts` outlives the pools.
  ConnectionPools(const Contexts& contexts, PoolLimits limits);

  //! The pool of an executor's context. Precondition: it is one of `contexts`.
  ConnectionPool& Of(const http::asio::any_io_executor& executor);

 private:
  std::map<http::asio::execution_context*, ConnectionPool> pools;
};

}  // namespace tamarackwing::backend_servers
