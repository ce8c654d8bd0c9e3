#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/control_options.h"
#include "tamarackwing/policy/budget_allocator.h"
#include "tamarackwing/state/control_state.h"
#include "tamarackwing/state/region_view.h"

namespace tamarackwing::control {

//! Grants a region's tokens while this host coordinates the region's
//! membership view. The right to do so is a lease: it lasts while the last
//! leader contact, or the last confirmation from every other member of the
//! view, is recent. A new coordinator starts with empty buckets after the
//! lease and the chunks of the old one have expired. Not thread-safe.
class RegionAllocator {
 public:
  explicit RegionAllocator(const ControlOptions& options);

  //! Applies a membership view from the agreed log; an older one is ignored.
  //! Returns whether this host becomes coordinator with it.
  bool SetView(const state::RegionView& view, TimePoint now);
  //! Records that a member uses the view of `epoch`, as confirmed by its echo
  //! of a report that was sent to it at `sent`. Ignored if `epoch` is not that
  //! of the current view.
  void NoteConfirmed(const HostName& member,
                     std::uint64_t epoch,
                     TimePoint sent);
  //! Records the last leader contact. The leader knew of no later view than the
  //! current one at that time.
  void NoteLeaderContact(TimePoint leader_contact);
  //! Whether this host may grant tokens at `now`.
  bool MayGrant(TimePoint now) const;
  //! Grants a chunk. Without the right to grant, the chunk is empty and says
  //! when to retry.
  policy::ChunkGrant Grant(const policy::BudgetAllocator::ChunkId& id,
                           const policy::ChunkRequest& request,
                           const state::ControlState& state,
                           TimePoint now);
  //! Settles a chunk: its unused tokens may be granted again.
  void Settle(const policy::BudgetAllocator::ChunkId& id,
              const policy::ChunkSettled& settled,
              TimePoint now);

 private:
  HostName self;
  RegionName region;
  std::chrono::milliseconds lease;
  std::chrono::milliseconds takeover_wait;
  unsigned allocator_percent;
  policy::BudgetAllocator allocator;
  state::RegionView view;
  bool is_coordinator = false;
  TimePoint grants_from;
  TimePoint leader_contact;
  std::map<HostName, TimePoint> confirmed;
};

}  // namespace tamarackwing::control
