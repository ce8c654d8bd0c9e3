#include "tamarackwing/gateway/entry_hosts.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::gateway {
namespace {

//! Returns whether every residency rule allows a region.
bool IsAllowedByAll(const state::ConfigurationSet& set,
                    const RegionName& region) {
  return std::all_of(set.residency_rules.begin(), set.residency_rules.end(),
                     [&](const auto& entry) {
                       const auto& regions = entry.second.regions;
                       return std::find(regions.begin(), regions.end(),
                                        region) != regions.end();
                     });
}

}  // namespace

EntryHosts EntryHostsFor(const state::Snapshot& snapshot,
                         const RegionName& region,
                         std::size_t first) {
  EntryHosts hosts;
  std::vector<http::Endpoint> draining;
  std::vector<http::Endpoint> allowed;
  std::vector<http::Endpoint> remote;
  for (const auto& [name, host] : *snapshot.hosts) {
    if (!host.IsEntryHost()) {
      continue;
    }
    const bool is_local = host.region == region;
    hosts.known += is_local ? 1 : 0;
    if (!snapshot.live.contains(name)) {
      continue;
    }
    const http::Endpoint endpoint{host.caller_address, host.caller_port};
    if (host.draining) {
      if (is_local) {
        draining.push_back(endpoint);
      }
    } else if (is_local) {
      hosts.endpoints.push_back(endpoint);
    } else if (IsAllowedByAll(*snapshot.set, host.region)) {
      allowed.push_back(endpoint);
    } else {
      remote.push_back(endpoint);
    }
  }
  hosts.is_fallback = hosts.endpoints.empty();
  // A draining host of the region is better than a remote one that the callers'
  // residency rules may forbid.
  for (std::vector<http::Endpoint>* next : {&allowed, &draining, &remote}) {
    if (hosts.endpoints.empty()) {
      hosts.endpoints = std::move(*next);
    }
  }
  if (hosts.endpoints.size() > kMaxEntryHosts) {
    std::rotate(hosts.endpoints.begin(),
                hosts.endpoints.begin() +
                    static_cast<std::ptrdiff_t>(first % hosts.endpoints.size()),
                hosts.endpoints.end());
    hosts.endpoints.resize(kMaxEntryHosts);
  }
  return hosts;
}

}  // namespace tamarackwing::gateway
