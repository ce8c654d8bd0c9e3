#pragma once

#include <cstdint>
#include <functional>

#include "tamarackwing/gateway/region_hosts.h"

namespace tamarackwing::gateway {

//! Returns the region to which a call moves; null if it stays. `key` is the
//! same for calls that share a prefix, and uniformly distributed otherwise: it
//! decides both whether the call is in the moved share and to which region it
//! goes, so that calls with one prefix go to the same region and use its cache
//! there. Regions that `may_use` rejects leave their share to the others.
//! Thread safety: reentrant.
const PlannedRegion* ChooseRegion(
    const SpillPlan& plan,
    std::uint64_t key,
    const std::function<bool(const PlannedRegion&)>& may_use);

}  // namespace tamarackwing::gateway
