#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/control/host_monitor.h"
#include "tamarackwing/state/control_state.h"
#include "tamarackwing/state/host_record.h"

namespace tamarackwing::control {

//! Returns how many voters there should be if `tolerated_losses` of them may
//! lose their disks at the same time as all others lose power: a majority then
//! remains, and does not need every single one of the rest.
constexpr std::size_t VotersFor(std::size_t tolerated_losses) {
  return 2 * (tolerated_losses + 1) + 1;
}

//! Returns how many more of the voters may be lost before those that are left
//! are no majority of all; zero also if they are none already. Precondition:
//! `lost` is at most `voters`.
constexpr std::size_t LossesLeft(std::size_t voters, std::size_t lost) {
  const std::size_t majority = voters / 2 + 1;
  const std::size_t left = voters - lost;
  return left > majority ? left - majority : 0;
}

//! A voter to replace.
struct LostVoter {
  HostName host;
  //! Hosts that may not take its place.
  std::set<HostName> not_by;
};

//! The input of PlanVoters.
struct VoterPlanInput {
  std::set<HostName> voters;
  //! The first is replaced first.
  std::vector<LostVoter> lost;
  //! Hosts that become voters only if there are no others.
  std::set<HostName> avoided;
  //! Desired number of voters, if enough hosts have disks; zero leaves the
  //! voters as they are.
  std::size_t target = 0;
};

//! The next change of voters: at most one name is set, none if nothing needs to
//! change.
struct VoterPlan {
  HostName add;
  HostName remove;
};

//! Returns the next voter to add or to remove. Live hosts with disks are added
//! up to the target, and one more while a voter is lost; a lost voter is
//! removed only once a host that may take its place is a voter, so that a plan
//! never shrinks the group below the target. New voters come from the region
//! with the fewest voters that are not lost, then from the data centre with the
//! fewest. Thread safety: reentrant.
VoterPlan PlanVoters(const VoterPlanInput& input,
                     const state::ControlState& state,
                     const HostMonitor& monitor,
                     TimePoint now);

//! The input of PlanSources.
struct SourceInput {
  state::HostRecord self;
  bool is_voter = false;
  bool ready = false;
  HostName leader;
  //! Empty if this host keeps no log.
  std::set<HostName> voters;
  //! All known hosts: those of the agreed state and the seeds.
  std::vector<state::HostRecord> hosts;
  //! Hosts that are lost as the agreed state says.
  std::set<HostName> lost;
};

//! Returns the hosts from which this host may receive the log's entries, best
//! first. A voter prefers the leader. Any other host prefers the voters of its
//! region, then the hosts with disks of its region; of these, a host with a
//! disk follows only those whose names come before its own. A host without a
//! disk then prefers the hosts above it in a tree of those without disks, so
//! that none of them feeds many others. A host that is not ready may use any
//! host of its region. The leader and all other voters come last; of these,
//! too, hosts without disks prefer different ones. To a host that is not ready,
//! lost hosts come after all others. Thread safety: reentrant.
std::vector<HostName> PlanSources(const SourceInput& input);

}  // namespace tamarackwing::control
