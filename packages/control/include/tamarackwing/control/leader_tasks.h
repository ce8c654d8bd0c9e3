#pragma once

#include <map>
#include <set>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/control_options.h"
#include "tamarackwing/control/host_monitor.h"
#include "tamarackwing/state/control_state.h"

namespace tamarackwing::control {

//! The changes that only the leader proposes: new, restarted and draining
//! hosts, which hosts are live, which of them keep and coordinate a region's
//! ledger, and when a version is in force everywhere. A state machine without
//! I/O. Not thread-safe.
class LeaderTasks {
 public:
  explicit LeaderTasks(const ControlOptions& options);

  //! Starts a term as leader. For ControlOptions::host_lost from `now` on, no
  //! host is considered failed and existing membership views stay, since
  //! statuses may not have arrived yet.
  void StartTerm(TimePoint now);
  //! Returns the changes that are due. A change is returned on every call until
  //! it is applied to `state`.
  std::vector<state::ControlChange> Due(const state::ControlState& state,
                                        const HostMonitor& monitor,
                                        TimePoint now);

 private:
  void AddHostChanges(const state::ControlState& state,
                      const HostMonitor& monitor,
                      TimePoint now,
                      std::vector<state::ControlChange>& changes) const;
  void AddLiveChanges(const state::ControlState& state,
                      const HostMonitor& monitor,
                      TimePoint now,
                      std::vector<state::ControlChange>& changes) const;
  void AddViewChanges(const state::ControlState& state,
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
  TimePoint grace_until;
  SetVersion confirming_version = 0;
  TimePoint confirm_at;
};

//! Returns the membership view that should replace `old`, or `old` if nothing
//! needs to change. Only a host with a complete copy of the ledger may become
//! coordinator. Thread safety: reentrant.
state::RegionView NextView(const state::RegionView& old,
                           const std::vector<state::HostRecord>& live,
                           const HostMonitor& monitor,
                           std::size_t max_members);

}  // namespace tamarackwing::control
