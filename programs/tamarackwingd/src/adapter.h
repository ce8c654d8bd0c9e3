#pragma once

#include <map>
#include <memory>

#include "tamarackwing/backend_servers/server_registry.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/gateway/path_gateway.h"
#include "tamarackwing/http/handler.h"
#include "tamarackwing/operators/operator_service.h"

namespace tamarackwing::daemon {

//! What an adapter's listeners speak to; everything outlives them.
struct AdapterDependencies {
  gateway::PathGateway& gateway;
  operators::OperatorService& operators;
  //! Takes reports for the entry hosts of a server's region.
  backend_servers::ServerRegistry& servers;
  //! The clock of the snapshot's word.
  const Clock& freshness_clock;
  //! The region of each data centre.
  const std::map<DataCentreName, RegionName>& data_centres;
};

//! The listeners of an adapter; one is null where it has none.
struct AdapterListeners {
  std::unique_ptr<http::Handler> callers;
  std::unique_ptr<http::Handler> forwarded;
  std::unique_ptr<http::Handler> readiness;
  std::unique_ptr<http::Handler> control;
  std::unique_ptr<http::Handler> directory;
};

//! Interface: translates between the gateway and peers with a protocol of
//! their own. It takes no decision and keeps no state.
//! Thread safety: MakeListeners once; the rest from any thread.
class Adapter {
 public:
  virtual ~Adapter() = default;
  virtual const gateway::PathProtocol& Protocol() const = 0;
  virtual AdapterListeners MakeListeners(
      const AdapterDependencies& dependencies) = 0;
};

}  // namespace tamarackwing::daemon
