#include "region_demand.h"

#include <algorithm>

namespace tamarackwing::daemon {

RegionDemand CountDemand(
    const std::string& target,
    const HostName& self,
    std::uint32_t gate,
    const policy::OwnLoad& load,
    const std::map<HostName, const control::RegionStatus*>& peers) {
  RegionDemand demand;
  demand.own = std::max(gate, load.running);
  demand.hosts[self] = demand.own;
  demand.total = demand.own;
  demand.pending_prefill = load.pending_prefill;
  for (const auto& [host, status] : peers) {
    demand.hosts[host] = 0;
    for (const control::TargetLoad& told : status->loads) {
      if (told.target == target) {
        demand.hosts[host] = told.demand;
        demand.total += told.demand;
        demand.pending_prefill += told.pending_prefill;
      }
    }
  }
  return demand;
}

}  // namespace tamarackwing::daemon
