#include "region_ranking.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::control {

std::vector<HostName> RankByRegion(
    std::uint64_t key,
    const RegionName& region,
    const std::vector<const state::HostRecord*>& hosts) {
  std::vector<std::tuple<bool, std::uint64_t, HostName>> ranked;
  ranked.reserve(hosts.size());
  for (const state::HostRecord* host : hosts) {
    ranked.emplace_back(host->region == region,
                        policy::RendezvousWeight(key, host->name.Text()),
                        host->name);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<HostName> names;
  names.reserve(ranked.size());
  for (auto& [is_in_region, weight, name] : ranked) {
    names.push_back(std::move(name));
  }
  return names;
}

}  // namespace tamarackwing::control
