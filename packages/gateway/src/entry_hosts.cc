#include "tamarackwing/gateway/entry_hosts.h"

namespace tamarackwing::gateway {
namespace {

//! The most hosts of one answer.
constexpr std::size_t kMostHosts = 64;

}  // namespace

std::vector<http::Endpoint> EntryHostsFor(const state::Snapshot& snapshot,
                                          const RegionName& region) {
  std::vector<http::Endpoint> near;
  std::vector<http::Endpoint> far;
  for (const auto& [name, host] : *snapshot.hosts) {
    const bool takes_callers =
        host.caller_port != 0 && !host.draining && snapshot.live.contains(name);
    if (takes_callers) {
      (host.region == region ? near : far)
          .push_back({host.caller_address, host.caller_port});
    }
  }
  std::vector<http::Endpoint> hosts = near.empty() ? far : near;
  if (hosts.size() > kMostHosts) {
    hosts.resize(kMostHosts);
  }
  return hosts;
}

}  // namespace tamarackwing::gateway
