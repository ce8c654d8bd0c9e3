#pragma once

#include <chrono>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/http/endpoint.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::gateway {

//! How long callers may go by an answer of EntryHostsFor.
inline constexpr std::chrono::milliseconds kEntryHostsLife{2'000};

//! Hosts that take callers.
struct EntryHosts {
  //! Whether none of the region's hosts could be named.
  bool is_fallback = false;
  std::vector<http::Endpoint> endpoints;
  //! Hosts of the region that are known, live or not.
  std::size_t known = 0;
};

//! The live hosts that callers of a region should use: those of the region;
//! where it has none, those of regions that every residency rule allows, then
//! those of the region that are about to stop, then any.
//! Thread safety: as for `snapshot`.
EntryHosts EntryHostsFor(const state::Snapshot& snapshot,
                         const RegionName& region);

}  // namespace tamarackwing::gateway
