#include "tamarackwing/control/stream_keepers.h"

#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::control {
namespace {

const state::HostRecord* BestEntryHost(
    std::uint64_t stream,
    const std::map<HostName, state::HostRecord>& hosts,
    const state::HostRecord* first,
    bool in_other_region) {
  const state::HostRecord* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const auto& [name, host] : hosts) {
    const bool is_taken =
        first != nullptr && (host.name == first->name ||
                             (in_other_region && host.region == first->region));
    if (!host.IsEntryHost() || is_taken) {
      continue;
    }
    const std::uint64_t weight = policy::RendezvousWeight(stream, name.Text());
    if (best == nullptr || weight > best_weight) {
      best = &host;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace

std::vector<HostName> StreamKeepers(
    std::uint64_t stream,
    const std::map<HostName, state::HostRecord>& hosts) {
  std::vector<HostName> keepers;
  const state::HostRecord* const first =
      BestEntryHost(stream, hosts, nullptr, false);
  if (first == nullptr) {
    return keepers;
  }
  keepers.push_back(first->name);
  const state::HostRecord* second = BestEntryHost(stream, hosts, first, true);
  if (second == nullptr) {
    second = BestEntryHost(stream, hosts, first, false);
  }
  if (second != nullptr) {
    keepers.push_back(second->name);
  }
  return keepers;
}

}  // namespace tamarackwing::control
