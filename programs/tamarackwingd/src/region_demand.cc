#include "region_demand.h"

#include <algorithm>

namespace tamarackwing::daemon {

RegionDemand CountDemand(
    const std::string& target,
    const HostName& self,
    std::uint32_t gate_demand,
    const policy::OwnLoad& load,
    const std::map<HostName, const control::RegionStatus*>& peers) {
  RegionDemand demand;
  demand.own = std::max(gate_demand, load.running);
  demand.hosts[self] = demand.own;
  demand.total = demand.own;
  demand.pending_prefill = load.pending_prefill;
  for (const auto& [host, status] : peers) {
    demand.hosts[host] = 0;
    for (const control::TargetLoad& peer_load : status->loads) {
      if (peer_load.target == target) {
        demand.hosts[host] = peer_load.demand;
        demand.total += peer_load.demand;
        demand.pending_prefill += peer_load.pending_prefill;
      }
    }
  }
  return demand;
}

}  // namespace tamarackwing::daemon
