#pragma once

#include <set>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/control/host_monitor.h"
#include "tamarackwing/state/control_state.h"
#include "tamarackwing/state/host_record.h"

namespace tamarackwing::control {

//! What the choice of the next change of voters goes by.
struct VoterPlanInput {
  std::set<HostName> voters;
  //! Voters that have not answered for long.
  std::set<HostName> silent;
  //! Voters that there should be where enough hosts have disks.
  std::size_t target = 0;
};

//! The next change of voters; both names are empty where nothing is to change.
struct VoterPlan {
  HostName add;
  HostName remove;
};

//! Admits live hosts with disks up to the target, and one more for each silent
//! voter, which is then removed: the group never shrinks below the target by
//! its own choice. New voters go where there are fewest, by region and then by
//! data centre. Thread safety: reentrant.
VoterPlan PlanVoters(const VoterPlanInput& input,
                     const state::ControlState& state,
                     const HostMonitor& monitor,
                     TimePoint now);

//! What the choice of sources goes by.
struct SourceInput {
  state::HostRecord self;
  bool is_voter = false;
  bool ready = false;
  HostName leader;
  //! Empty where this host keeps no log.
  std::set<HostName> voters;
  //! All hosts known: those of the agreed state and the seeds.
  std::vector<state::HostRecord> hosts;
};

//! The hosts from which this one may follow the log, best first: voters ask
//! the leader, others the voters of their region, then hosts of their region
//! that come before them, those with disks first and then by name, then any
//! voter. Thread safety: reentrant.
std::vector<HostName> PlanSources(const SourceInput& input);

}  // namespace tamarackwing::control
