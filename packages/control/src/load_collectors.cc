#include "tamarackwing/control/load_collectors.h"

#include <algorithm>

#include "region_ranking.h"
#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::control {
namespace {

//! Number of intervals without a reply after which another collector is asked.
constexpr int kMaxSilentIntervals = 3;
//! How long a collector that did not reply is passed over: about the time after
//! which the leader no longer counts a stopped host as live.
constexpr std::chrono::seconds kSilentFor{2};

}  // namespace

std::vector<HostName> LoadCollectors(
    const RegionName& region,
    const HostName& leader,
    const std::map<HostName, state::HostRecord>& hosts,
    const std::set<HostName>& live) {
  std::vector<const state::HostRecord*> candidates;
  for (const HostName& name : live) {
    const auto host = hosts.find(name);
    const bool is_candidate = host != hosts.end() && host->second.has_disk &&
                              !host->second.draining &&
                              host->second.region == region;
    if (is_candidate) {
      candidates.push_back(&host->second);
    }
  }
  std::vector<HostName> collectors =
      RankByRegion(policy::RendezvousKey(region.Text()), region, candidates);
  // The leader needs its processor for heartbeats.
  std::stable_partition(
      collectors.begin(), collectors.end(),
      [&](const HostName& collector) { return collector != leader; });
  return collectors;
}

LoadFollower::LoadFollower(std::chrono::milliseconds interval)
    : interval(interval) {}

std::optional<HostName> LoadFollower::Due(
    const std::vector<HostName>& collectors,
    TimePoint now) {
  if (!this->IsDue(now)) {
    return std::nullopt;
  }
  const bool was_stalled = now - this->due_at > this->interval;
  this->due_at = now + this->interval;
  if (was_stalled) {
    // This host was suspended or busy, so a missing reply says nothing about
    // the collector.
    this->heard_at = now;
  }
  if (!this->collector.IsEmpty() &&
      now - this->heard_at > kMaxSilentIntervals * this->interval) {
    this->silent_until[this->collector] = now + kSilentFor;
  }
  std::erase_if(this->silent_until,
                [&](const auto& entry) { return entry.second <= now; });
  const auto chosen = std::find_if(
      collectors.begin(), collectors.end(), [&](const HostName& candidate) {
        return !this->silent_until.contains(candidate);
      });
  if (chosen == collectors.end()) {
    this->collector = HostName();
    return std::nullopt;
  }
  if (*chosen != this->collector) {
    this->collector = *chosen;
    this->heard_at = now;
  }
  return this->collector;
}

void LoadFollower::NoteReply(const HostName& from, TimePoint now) {
  if (from == this->collector) {
    this->heard_at = now;
  }
}

}  // namespace tamarackwing::control
