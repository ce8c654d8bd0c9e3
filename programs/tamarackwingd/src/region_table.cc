#include "region_table.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::daemon {
namespace {

//! Validity of a probe reply.
constexpr std::chrono::seconds kProbeValidity{5};

}  // namespace

RegionTable::RegionTable(const Clock& clock, double prefill_rate)
    : clock(clock), prefill_rate(prefill_rate) {}

void RegionTable::SetPrefillRate(double next) {
  const std::lock_guard lock(this->mutex);
  this->prefill_rate = next;
}

void RegionTable::NoteOwnLoads(const std::vector<control::TargetLoad>& loads) {
  const std::lock_guard lock(this->mutex);
  this->own_loads.clear();
  for (const control::TargetLoad& load : loads) {
    this->own_loads[load.target] = load;
  }
}

Duration RegionTable::OwnWait(const std::string& target) {
  const std::lock_guard lock(this->mutex);
  const auto load = this->own_loads.find(target);
  return load == this->own_loads.end() ? Duration::zero()
                                       : this->PrefillWait(load->second);
}

Duration RegionTable::PrefillWait(const control::TargetLoad& load) const {
  const double prefill_seconds =
      load.servers == 0 ? 0
                        : static_cast<double>(load.pending_prefill) /
                              load.servers / this->prefill_rate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(prefill_seconds));
}

void RegionTable::NoteProbe(const state::HostRecord& host,
                            const control::ProbeReply& reply,
                            Duration round_trip) {
  const std::lock_guard lock(this->mutex);
  if (reply.links_down) {
    const auto known = this->regions.find(reply.region);
    if (known != this->regions.end() && known->second.host.name == host.name) {
      this->regions.erase(known);
    }
    return;
  }
  Region& region = this->regions[reply.region];
  region.host = host;
  region.round_trip = round_trip;
  region.at = this->clock.Now();
  region.loads.clear();
  for (const control::TargetLoad& load : reply.loads) {
    region.loads[load.target] = load;
  }
}

void RegionTable::SetNeighbours(std::vector<gateway::ForwardTarget> hosts) {
  const std::lock_guard lock(this->mutex);
  this->neighbours = std::move(hosts);
}

std::vector<gateway::ForwardTarget> RegionTable::Neighbours() {
  const std::lock_guard lock(this->mutex);
  return this->neighbours;
}

std::vector<gateway::ForwardTarget> RegionTable::Candidates(
    const std::string& target) {
  std::vector<gateway::ForwardTarget> candidates;
  const std::lock_guard lock(this->mutex);
  for (const auto& [name, region] : this->regions) {
    const auto load = region.loads.find(target);
    const bool is_recent = this->clock.Now() - region.at < kProbeValidity;
    if (!is_recent || load == region.loads.end() || load->second.slots == 0) {
      continue;
    }
    gateway::ForwardTarget candidate;
    candidate.host = region.host.name;
    candidate.region = name;
    candidate.endpoint = {region.host.peer_address, region.host.forward_port};
    candidate.expected = region.round_trip + this->PrefillWait(load->second);
    candidates.push_back(std::move(candidate));
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const gateway::ForwardTarget& a, const gateway::ForwardTarget& b) {
        return a.expected < b.expected;
      });
  return candidates;
}

}  // namespace tamarackwing::daemon
