#include "tamarackwing/control/bucket_keepers.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>
#include <utility>

#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::control {

std::vector<HostName> BucketKeepers(
    const WorkspaceName& workspace,
    const RegionName& region,
    const std::map<HostName, state::HostRecord>& hosts,
    const std::map<RegionName, std::set<HostName>>& live) {
  const std::uint64_t key = policy::RendezvousKey(workspace.Text());
  std::vector<std::tuple<bool, std::uint64_t, HostName>> ranked;
  for (const auto& [of_region, names] : live) {
    for (const HostName& name : names) {
      const auto host = hosts.find(name);
      if (host != hosts.end() && host->second.has_disk &&
          !host->second.draining) {
        ranked.emplace_back(of_region == region,
                            policy::RendezvousWeight(key, name.Text()), name);
      }
    }
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<HostName> keepers;
  keepers.reserve(ranked.size());
  for (auto& [is_in_region, weight, name] : ranked) {
    keepers.push_back(std::move(name));
  }
  return keepers;
}

}  // namespace tamarackwing::control
