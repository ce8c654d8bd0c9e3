#include "tamarackwing/control/bucket_keepers.h"

#include "region_ranking.h"
#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::control {

std::vector<HostName> BucketKeepers(
    const WorkspaceName& workspace,
    const RegionName& region,
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
  return RankByRegion(policy::RendezvousKey(workspace.Text()), region,
                      candidates);
}

}  // namespace tamarackwing::control
