#pragma once

#include <chrono>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/http/endpoint.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::gateway {

//! How long callers may go by an answer of EntryHostsFor.
inline constexpr std::chrono::milliseconds kEntryHostsLife{2'000};

//! The live hosts that callers of a region should use: those of the region, or
//! of any other where it has none. Thread safety: as for `snapshot`.
std::vector<http::Endpoint> EntryHostsFor(const state::Snapshot& snapshot,
                                          const RegionName& region);

}  // namespace tamarackwing::gateway
