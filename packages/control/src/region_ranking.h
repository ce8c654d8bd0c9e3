#pragma once

#include <cstdint>
#include <vector>

#include "tamarackwing/state/host_record.h"

namespace tamarackwing::control {

//! Returns the names of hosts by rendezvous hashing for a key, those of
//! `region` first. Precondition: no pointer is null. Thread safety: reentrant.
std::vector<HostName> RankByRegion(
    std::uint64_t key,
    const RegionName& region,
    const std::vector<const state::HostRecord*>& hosts);

}  // namespace tamarackwing::control
