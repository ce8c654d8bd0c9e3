#include "tamarackwing/control/bucket_keepers.h"

#include <algorithm>
#include <functional>
#include <utility>

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

std::vector<HostName> KeepersOfOtherRegions(
    const WorkspaceName& workspace,
    const RegionName& region,
    const HostName& leader,
    const std::map<HostName, state::HostRecord>& hosts,
    const std::map<RegionName, std::set<HostName>>& live,
    const std::set<HostName>& silent,
    std::size_t count) {
  const std::uint64_t key = policy::RendezvousKey(workspace.Text());
  std::vector<std::pair<std::uint64_t, const RegionName*>> ranked;
  for (const auto& [of_region, names] : live) {
    if (of_region != region) {
      ranked.emplace_back(policy::RendezvousWeight(key, of_region.Text()),
                          &of_region);
    }
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<HostName> first_keepers;
  for (const auto& [weight, of_region] : ranked) {
    if (first_keepers.size() >= count) {
      break;
    }
    const auto keepers = BucketKeepers(workspace, *of_region, leader, hosts,
                                       {{*of_region, live.at(*of_region)}});
    const auto first = std::find_if(
        keepers.begin(), keepers.end(),
        [&](const HostName& keeper) { return !silent.contains(keeper); });
    if (first != keepers.end()) {
      first_keepers.push_back(*first);
    }
  }
  return first_keepers;
}

}  // namespace tamarackwing::control
