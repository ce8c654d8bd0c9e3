#include "region_demand.h"

#include <algorithm>
#include <limits>

namespace tamarackwing::daemon {
namespace {

//! Adds what a peer reports; its value may be wrong, so the sum must not wrap.
void AddWork(std::uint32_t& sum, std::uint32_t reported) {
  sum += std::min(reported, std::numeric_limits<std::uint32_t>::max() - sum);
}

}  // namespace

RegionDemand CountDemand(
    const std::string& target,
    const HostName& self,
    std::uint32_t gate_demand,
    const policy::OwnLoad& load,
    const policy::WorkRate& work,
    const std::map<HostName, const control::RegionStatus*>& peers) {
  RegionDemand demand;
  demand.own = std::max(gate_demand, load.running);
  demand.hosts[self] = demand.own;
  demand.total = demand.own;
  demand.pending_prefill = load.pending_prefill;
  demand.offered = work.offered;
  demand.movable = work.movable;
  for (const auto& [host, status] : peers) {
    demand.hosts[host] = 0;
    for (const control::TargetLoad& peer_load : status->loads) {
      if (peer_load.target == target) {
        demand.hosts[host] = peer_load.demand;
        demand.total += peer_load.demand;
        demand.pending_prefill += peer_load.pending_prefill;
        AddWork(demand.offered, peer_load.offered);
        AddWork(demand.movable, peer_load.movable);
      }
    }
  }
  return demand;
}

}  // namespace tamarackwing::daemon
