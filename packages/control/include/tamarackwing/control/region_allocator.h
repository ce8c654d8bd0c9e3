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

//! Gives out a region's tokens while this host coordinates its view. The right
//! to do so is a lease: it lasts while the group's word, or that of every other
//! member of the view, is recent. A new coordinator starts empty and waits
//! until the old one's lease and chunks have run out. Not thread-safe.
class RegionAllocator {
 public:
  explicit RegionAllocator(const ControlOptions& options);

  //! Takes a view from the agreed log; true where this host begins to
  //! coordinate with it.
  bool SetView(const state::RegionView& view, TimePoint now);
  //! A member went by this epoch when `sent` was sent to it.
  void NoteConfirmed(const HostName& member,
                     std::uint64_t epoch,
                     TimePoint sent);
  //! Word of a leader that knew no later view is as recent as this.
  void NoteLeaderContact(TimePoint leader_contact);
  //! Whether tokens may be given out now.
  bool MayGrant(TimePoint now) const;
  //! Answers a request.
  policy::ChunkGrant Grant(const policy::BudgetAllocator::ChunkId& id,
                           const policy::ChunkRequest& request,
                           const state::ControlState& state,
                           TimePoint now);
  //! Takes a chunk back.
  void Settle(const policy::BudgetAllocator::ChunkId& id,
              const policy::ChunkSettled& settled,
              TimePoint now);

 private:
  HostName self;
  RegionName region;
  std::chrono::milliseconds lease;
  std::chrono::milliseconds takeover;
  unsigned allocator_percent;
  policy::BudgetAllocator allocator;
  state::RegionView view;
  bool coordinates = false;
  TimePoint starts;
  TimePoint leader_contact;
  std::map<HostName, TimePoint> confirmed;
};

}  // namespace tamarackwing::control
