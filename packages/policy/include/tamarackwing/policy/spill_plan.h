#pragma once

#include <cstdint>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! Work and capacity of a region for one target, in thousandths of a server.
struct RegionWork {
  RegionName region;
  //! Work that the region's callers offer, wherever it is served.
  std::uint32_t offered = 0;
  //! The part of it that may run in another region; a value above `offered` is
  //! taken for `offered`.
  std::uint32_t movable = 0;
  //! Zero if unknown; such a region is left out.
  std::uint32_t capacity = 0;
  //! Time to the region and back; ignored for the own region.
  Duration round_trip{};
};

//! The share of the own region's movable work that goes to another region.
struct SpillShare {
  RegionName region;
  std::uint32_t per_mille = 0;

  friend bool operator==(const SpillShare&, const SpillShare&) = default;
};

//! Returns the highest utilization to which a region is filled up with work of
//! regions at utilization `hot` or above, `round_trip` away. Negative if work
//! that moves there gains nothing.
//!
//! At utilization u, a request gets its first output after about s / (1 - u),
//! s being the prefill time, since its prefill waits for others. Moving pays if
//! s / (1 - hot) >= s / (1 - cool) + round_trip, so
//! cool = 1 - 1 / (1 / (1 - hot) - round_trip / s). The margin hot - cool is
//! large between half-idle regions and vanishes as `hot` approaches 1. With
//! s = 150 ms and a round trip of 160 ms, nothing moves below a utilization of
//! 0.52 to an idle region, and below 0.6 to one at 0.3. From `hot` = 1 on the
//! result is 1: work beyond a region's capacity would only wait there instead.
//! Precondition: `prefill` is positive. Thread safety: reentrant.
double CoolLevel(double hot, Duration round_trip, Duration prefill);

//! Returns, for each other region that should get some, the share of the own
//! region's movable work to send there, in order of the regions' names; empty
//! if none should move, or the own region is missing or has no capacity.
//! `prefill` is the typical prefill time of a prompt; nothing moves unless it
//! is positive.
//!
//! Answers peaks that rotate among regions: one region has 2.5 to 2.8 times its
//! mean load for 12 s while others have a quarter of theirs. Work that moves
//! only after callers wait (see ShouldSpill) moves too late for their latency
//! targets. The plan depends only on what callers offer, not on where it is
//! served, so it does not oscillate.
//!
//! There is one level `hot` for all regions: those above it come down to it, as
//! far as their movable work permits, and those below CoolLevel are filled up
//! to that, in proportion to their room, such that as much work moves in as
//! out. Hosts with the same input return the same plan; several regions that
//! are hot at once divide the room of the others between them. Takes under
//! 10 us for three regions. Thread safety: reentrant.
std::vector<SpillShare> PlanSpill(const std::vector<RegionWork>& regions,
                                  const RegionName& own,
                                  Duration prefill);

}  // namespace tamarackwing::policy
