#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "tamarackwing/backend_servers/server_registry.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/gateway/path_gateway.h"
#include "tamarackwing/http/handler.h"
#include "tamarackwing/operators/operator_service.h"

namespace tamarackwing::daemon {

//! Dependencies of an adapter's listeners; all of them must outlive the
//! listeners.
struct AdapterDependencies {
  gateway::PathGateway& gateway;
  operators::OperatorService& operators;
  //! Relays reports to the entry hosts of a server's region.
  backend_servers::ServerRegistry& servers;
  //! Clock of state::Snapshot::leader_contact.
  const Clock& freshness_clock;
  //! The region of each data centre.
  const std::map<DataCentreName, RegionName>& data_centres;
  //! Port on which every host with a disk accepts reports.
  std::uint16_t control_port = 0;
};

//! HTTP handlers of an adapter, one for each of its listeners; null for a
//! listener that the adapter does not have.
struct AdapterListeners {
  std::unique_ptr<http::Handler> callers;
  std::unique_ptr<http::Handler> forwarded;
  std::unique_ptr<http::Handler> readiness;
  std::unique_ptr<http::Handler> control;
  std::unique_ptr<http::Handler> directory;
};

//! Interface: translates between the gateway and peers that use another
//! protocol. An adapter makes no decisions and keeps no state.
//! Thread safety: MakeListeners is called once; the other methods are callable
//! from any thread.
class Adapter {
 public:
  virtual ~Adapter() = default;
  virtual const gateway::PathProtocol& Protocol() const = 0;
  virtual AdapterListeners MakeListeners(
      const AdapterDependencies& dependencies) = 0;
};

}  // namespace tamarackwing::daemon
