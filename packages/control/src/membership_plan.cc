#include "tamarackwing/control/membership_plan.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::control {
namespace {

//! Maximum number of hosts without disks that prefer the same host without a
//! disk as their source. Such hosts may have slow links.
constexpr std::size_t kFeedFanOut = 4;

bool IsLost(const VoterPlanInput& input, const HostName& voter) {
  return std::any_of(input.lost.begin(), input.lost.end(),
                     [&](const LostVoter& lost) { return lost.host == voter; });
}

//! Returns whether a voter that is not lost may take the place of one that is.
bool HasReplacement(const VoterPlanInput& input, const LostVoter& lost) {
  return std::any_of(
      input.voters.begin(), input.voters.end(), [&](const HostName& voter) {
        return !IsLost(input, voter) && !lost.not_by.contains(voter);
      });
}

//! Returns a live host that has a disk, does not drain, is not a voter and not
//! one of `excluded`, rather one that is not to be avoided, from the region,
//! and then from the data centre, with the fewest voters that are not lost; an
//! empty name if there is none.
HostName PickNewVoter(const VoterPlanInput& input,
                      const std::set<HostName>& excluded,
                      const state::ControlState& state,
                      const HostMonitor& monitor,
                      TimePoint now) {
  std::map<RegionName, int> in_region;
  std::map<DataCentreName, int> in_data_centre;
  for (const HostName& voter : input.voters) {
    const auto host = state.Hosts().find(voter);
    if (host != state.Hosts().end() && !IsLost(input, voter)) {
      in_region[host->second.region] += 1;
      in_data_centre[host->second.data_centre] += 1;
    }
  }
  HostName best;
  std::tuple<bool, int, int> fewest;
  for (const auto& [name, host] : state.Hosts()) {
    const bool is_eligible =
        host.has_disk && !host.draining && !input.voters.contains(name) &&
        !excluded.contains(name) && monitor.IsLive(name, now);
    if (!is_eligible) {
      continue;
    }
    const std::tuple voter_count{input.avoided.contains(name),
                                 in_region[host.region],
                                 in_data_centre[host.data_centre]};
    if (best.IsEmpty() || voter_count < fewest) {
      best = name;
      fewest = voter_count;
    }
  }
  return best;
}

//! Returns the hosts in the order in which a host prefers them: as given if it
//! has a disk; hosts without prefer different ones.
std::vector<HostName> InOrderOf(const state::HostRecord& self,
                                std::vector<HostName> hosts) {
  if (!self.has_disk) {
    const std::uint64_t key = policy::RendezvousKey(self.name.Text());
    std::sort(hosts.begin(), hosts.end(),
              [key](const HostName& left, const HostName& right) {
                return policy::RendezvousWeight(key, left.Text()) >
                       policy::RendezvousWeight(key, right.Text());
              });
  }
  return hosts;
}

//! Returns the region's hosts with disks, in the order that `self` prefers.
std::vector<HostName> DiskHostsOfRegion(const SourceInput& input) {
  std::vector<HostName> hosts;
  for (const state::HostRecord& host : input.hosts) {
    if (host.has_disk && host.region == input.self.region) {
      hosts.push_back(host.name);
    }
  }
  hosts = InOrderOf(input.self, std::move(hosts));
  if (!input.self.has_disk) {
    // The leader has to send heartbeats, and gets reports of all hosts.
    std::stable_partition(
        hosts.begin(), hosts.end(),
        [&](const HostName& host) { return host != input.leader; });
  }
  return hosts;
}

//! Returns the hosts above this one in the tree of the region's hosts without
//! disks, the nearest first; none for a host with a disk.
std::vector<HostName> FeedersOf(const SourceInput& input) {
  std::vector<HostName> feeders;
  if (input.self.has_disk) {
    return feeders;
  }
  std::set<HostName> names{input.self.name};
  for (const state::HostRecord& host : input.hosts) {
    if (!host.has_disk && host.region == input.self.region) {
      names.insert(host.name);
    }
  }
  const std::vector<HostName> ranked(names.begin(), names.end());
  auto place = static_cast<std::size_t>(
      std::find(ranked.begin(), ranked.end(), input.self.name) -
      ranked.begin());
  while (place > 0) {
    place = (place - 1) / kFeedFanOut;
    feeders.push_back(ranked[place]);
  }
  return feeders;
}

}  // namespace

VoterPlan PlanVoters(const VoterPlanInput& input,
                     const state::ControlState& state,
                     const HostMonitor& monitor,
                     TimePoint now) {
  VoterPlan plan;
  if (input.target == 0) {
    return plan;
  }
  if (input.voters.size() > input.target) {
    const auto replaced = std::find_if(
        input.lost.begin(), input.lost.end(),
        [&](const LostVoter& lost) { return HasReplacement(input, lost); });
    if (replaced != input.lost.end()) {
      plan.remove = replaced->host;
      return plan;
    }
  }
  if (input.voters.size() < input.target) {
    plan.add = PickNewVoter(input, {}, state, monitor, now);
    return plan;
  }
  for (const LostVoter& lost : input.lost) {
    if (plan.add.IsEmpty()) {
      plan.add = PickNewVoter(input, lost.not_by, state, monitor, now);
    }
  }
  return plan;
}

std::vector<HostName> PlanSources(const SourceInput& input) {
  std::set<HostName> voters = input.voters;
  if (voters.empty()) {
    for (const state::HostRecord& host : input.hosts) {
      if (host.has_disk) {
        voters.insert(host.name);
      }
    }
  }
  std::vector<HostName> sources;
  const auto add = [&](const HostName& host) {
    const bool is_listed =
        std::find(sources.begin(), sources.end(), host) != sources.end();
    if (host != input.self.name && !host.IsEmpty() && !is_listed) {
      sources.push_back(host);
    }
  };
  const bool is_voter = voters.contains(input.self.name);
  if (is_voter) {
    add(input.leader);
  } else {
    for (const HostName& host : DiskHostsOfRegion(input)) {
      if (voters.contains(host)) {
        add(host);
      }
    }
    // A host follows only hosts that rank before it. Otherwise two hosts could
    // follow each other and neither would receive new entries.
    for (const HostName& host : DiskHostsOfRegion(input)) {
      if (!input.self.has_disk || host < input.self.name) {
        add(host);
      }
    }
    for (const HostName& host : FeedersOf(input)) {
      add(host);
    }
  }
  if (!input.ready) {
    for (const state::HostRecord& host : input.hosts) {
      if (host.region == input.self.region) {
        add(host.name);
      }
    }
  }
  if (input.self.has_disk) {
    add(input.leader);
  }
  for (const HostName& voter :
       InOrderOf(input.self, {voters.begin(), voters.end()})) {
    add(voter);
  }
  add(input.leader);
  if (!input.ready) {
    std::stable_partition(
        sources.begin(), sources.end(),
        [&](const HostName& host) { return !input.lost.contains(host); });
  }
  return sources;
}

}  // namespace tamarackwing::control
