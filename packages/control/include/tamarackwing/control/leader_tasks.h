#pragma once

#include <map>
#include <set>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/control_options.h"
#include "tamarackwing/control/host_monitor.h"
#include "tamarackwing/state/control_state.h"

namespace tamarackwing::control {

//! What only the leader decides: who lives, which hosts keep a region's ledger
//! and who coordinates it, when a version is in force everywhere, which spare
//! replaces a lost voter. Pure; not thread-safe.
class LeaderTasks {
 public:
  explicit LeaderTasks(const ControlOptions& options);

  //! A new leader waits before it takes anybody for lost.
  void StartTerm(TimePoint now);
  //! The changes that are due now. Each is named again until it has applied.
  std::vector<state::ControlChange> Due(const state::ControlState& state,
                                        const HostMonitor& monitor,
                                        TimePoint now);

 private:
  void AddHosts(const state::ControlState& state,
                const HostMonitor& monitor,
                TimePoint now,
                std::vector<state::ControlChange>& changes) const;
  void AddLive(const state::ControlState& state,
               const HostMonitor& monitor,
               TimePoint now,
               std::vector<state::ControlChange>& changes) const;
  void AddViews(const state::ControlState& state,
                const HostMonitor& monitor,
                TimePoint now,
                std::vector<state::ControlChange>& changes) const;
  void AddConfirmation(const state::ControlState& state,
                       const HostMonitor& monitor,
                       TimePoint now,
                       std::vector<state::ControlChange>& changes);

  std::chrono::milliseconds host_lost;
  std::chrono::milliseconds confirm_wait;
  std::size_t view_members;
  TimePoint settled_from;
  SetVersion confirming = 0;
  TimePoint confirm_at;
};

//! The view that should follow `old`, or `old` where nothing is to change.
//! Only a host that holds the whole ledger coordinates. Thread safety:
//! reentrant.
state::RegionView NextView(const state::RegionView& old,
                           const std::vector<state::HostRecord>& live,
                           const HostMonitor& monitor,
                           std::size_t max_members);

}  // namespace tamarackwing::control
