#include "tamarackwing/control/bucket_keepers.h"

#include <algorithm>

#include "region_ranking.h"
#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::control {

std::vector<HostName> BucketKeepers(
    const WorkspaceName& workspace,
    const RegionName& region,
    const HostName& leader,
    const std::map<HostName, state::HostRecord>& hosts,
    const std::map<RegionName, std::set<HostName>>& live) {
  std::vector<const state::HostRecord*> candidates;
  for (const auto& [of_region, names] : live) {
    for (const HostName& name : names) {
      const auto host = hosts.find(name);
      if (host != hosts.end() && host->second.has_disk &&
          !host->second.draining) {
        candidates.push_back(&host->second);
      }
    }
  }
  std::vector<HostName> keepers =
      RankByRegion(policy::RendezvousKey(workspace.Text()), region, candidates);
  // Requests for tokens would take the processor that the leader needs for its
  // heartbeats.
  const auto end_of_region =
      std::find_if(keepers.begin(), keepers.end(), [&](const HostName& keeper) {
        return hosts.at(keeper).region != region;
      });
  std::stable_partition(
      keepers.begin(), end_of_region,
      [&](const HostName& keeper) { return keeper != leader; });
  return keepers;
}

}  // namespace tamarackwing::control
