#include "cold_allowance.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::gateway {
namespace {

constexpr std::uint32_t kPerKilosecond = 1'000;

std::vector<HostName> LiveEntryHosts(const state::Snapshot& snapshot,
                                     const RegionName& region) {
  std::vector<HostName> hosts;
  for (const auto& [name, host] : *snapshot.hosts) {
    if (host.region == region && host.IsEntryHost() &&
        snapshot.live.contains(name)) {
      hosts.push_back(name);
    }
  }
  return hosts;
}

}  // namespace

std::function<std::uint32_t(const BackendServerName&)> MakeColdAllowance(
    std::shared_ptr<const state::Snapshot> snapshot,
    const GatewaySettings& settings,
    const std::string& service) {
  const auto found = snapshot->set->services.find(state::ServiceName(service));
  if (found == snapshot->set->services.end() ||
      found->second.warmup_per_kilosecond == 0) {
    return {};
  }
  // Each of the owners may send the server one request per second, so their
  // number equals the requests per second that the server admits.
  const std::size_t owners = std::max<std::size_t>(
      1, found->second.warmup_per_kilosecond / kPerKilosecond);
  return [snapshot = std::move(snapshot), region = settings.region,
          host = settings.host, owners](const BackendServerName& server) {
    return policy::IsAmongOwners(policy::RendezvousKey(server.Text()), host,
                                 LiveEntryHosts(*snapshot, region), owners)
               ? 1U
               : 0U;
  };
}

}  // namespace tamarackwing::gateway
