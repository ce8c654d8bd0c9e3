#include "tamarackwing/control/membership_plan.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace tamarackwing::control {
namespace {

//! Returns a live host that has a disk, does not drain and is not a voter, from
//! the region, and then from the data centre, with the fewest replying voters;
//! an empty name if there is none.
HostName PickNewVoter(const VoterPlanInput& input,
                      const state::ControlState& state,
                      const HostMonitor& monitor,
                      TimePoint now) {
  std::map<RegionName, int> in_region;
  std::map<DataCentreName, int> in_data_centre;
  for (const HostName& voter : input.voters) {
    const auto host = state.Hosts().find(voter);
    if (host != state.Hosts().end() && !input.silent.contains(voter)) {
      in_region[host->second.region] += 1;
      in_data_centre[host->second.data_centre] += 1;
    }
  }
  HostName best;
  std::tuple<int, int> fewest;
  for (const auto& [name, host] : state.Hosts()) {
    const bool is_eligible = host.has_disk && !host.draining &&
                             !input.voters.contains(name) &&
                             monitor.IsLive(name, now);
    if (!is_eligible) {
      continue;
    }
    const std::tuple voter_count{in_region[host.region],
                                 in_data_centre[host.data_centre]};
    if (best.IsEmpty() || voter_count < fewest) {
      best = name;
      fewest = voter_count;
    }
  }
  return best;
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
  if (!input.silent.empty() && input.voters.size() > input.target) {
    plan.remove = *input.silent.begin();
    return plan;
  }
  if (input.voters.size() < input.target + input.silent.size()) {
    plan.add = PickNewVoter(input, state, monitor, now);
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
  }
  for (const state::HostRecord& host : input.hosts) {
    const bool is_in_region = host.region == input.self.region;
    if (is_in_region && !is_voter && voters.contains(host.name)) {
      add(host.name);
    }
  }
  for (const state::HostRecord& host : input.hosts) {
    const bool is_in_region = host.region == input.self.region;
    // A host follows only hosts that rank before it. Otherwise two hosts could
    // follow each other and neither would receive new entries.
    const bool ranks_before = host.has_disk == input.self.has_disk
                                  ? host.name < input.self.name
                                  : host.has_disk;
    const bool may_feed = !input.ready || (!is_voter && ranks_before);
    if (is_in_region && may_feed) {
      add(host.name);
    }
  }
  add(input.leader);
  for (const HostName& voter : voters) {
    add(voter);
  }
  return sources;
}

}  // namespace tamarackwing::control
