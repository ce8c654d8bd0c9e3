#include "tamarackwing/gateway/report_hosts.h"

#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::gateway {

const state::HostRecord* ReportHostFor(const state::Snapshot& snapshot,
                                       const policy::ServerReport& report) {
  const std::uint64_t key = policy::RendezvousKey(report.name.Text());
  const state::HostRecord* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const auto& [name, host] : *snapshot.hosts) {
    const bool is_eligible = host.has_disk && !host.draining &&
                             host.region == report.region &&
                             snapshot.live.contains(name);
    if (!is_eligible) {
      continue;
    }
    const std::uint64_t weight = policy::RendezvousWeight(key, name.Text());
    if (best == nullptr || weight > best_weight) {
      best = &host;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace tamarackwing::gateway
