#include "tamarackwing/gateway/entry_hosts.h"

#include <algorithm>
#include <map>
#include <utility>

namespace tamarackwing::gateway {
namespace {

//! The most hosts of one answer.
constexpr std::size_t kMostHosts = 64;

std::size_t RulesThatAllow(const state::ConfigurationSet& set,
                           const RegionName& region) {
  return static_cast<std::size_t>(std::count_if(
      set.residency_rules.begin(), set.residency_rules.end(),
      [&](const auto& entry) {
        const auto& regions = entry.second.regions;
        return std::find(regions.begin(), regions.end(), region) !=
               regions.end();
      }));
}

}  // namespace

EntryHosts EntryHostsFor(const state::Snapshot& snapshot,
                         const RegionName& region) {
  EntryHosts hosts;
  std::map<std::size_t, std::vector<http::Endpoint>> far;
  for (const auto& [name, host] : *snapshot.hosts) {
    if (host.caller_port == 0) {
      continue;
    }
    hosts.known += host.region == region ? 1 : 0;
    if (host.draining || !snapshot.live.contains(name)) {
      continue;
    }
    const http::Endpoint endpoint{host.caller_address, host.caller_port};
    if (host.region == region) {
      hosts.endpoints.push_back(endpoint);
    } else {
      far[RulesThatAllow(*snapshot.set, host.region)].push_back(endpoint);
    }
  }
  if (hosts.endpoints.empty()) {
    hosts.is_detour = true;
    if (!far.empty()) {
      hosts.endpoints = std::move(far.rbegin()->second);
    }
  }
  if (hosts.endpoints.size() > kMostHosts) {
    hosts.endpoints.resize(kMostHosts);
  }
  return hosts;
}

}  // namespace tamarackwing::gateway
