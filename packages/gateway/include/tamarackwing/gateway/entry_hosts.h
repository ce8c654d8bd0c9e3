#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/http/endpoint.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::gateway {

//! How long callers may cache a result of EntryHostsFor.
inline constexpr std::chrono::milliseconds kEntryHostsLife{2'000};

//! Maximum number of hosts in one result of EntryHostsFor.
inline constexpr std::size_t kMaxEntryHosts = 64;

//! Entry hosts for the callers of a region.
struct EntryHosts {
  //! Whether the region has no live entry host that is not draining, so that
  //! the endpoints are a fallback.
  bool is_fallback = false;
  std::vector<http::Endpoint> endpoints;
  //! Number of known entry hosts of the region, live or not.
  std::size_t known = 0;
};

//! Returns the live entry hosts that callers of a region should use: those of
//! the region that are not draining. If there are none, returns the first of
//! these groups that is not empty: hosts of regions that every residency rule
//! allows, draining hosts of the region, hosts of any other region. Of more
//! than kMaxEntryHosts, those from position `first` (modulo their number) are
//! returned: with a `first` that grows by kMaxEntryHosts, all get as many
//! callers. Thread safety: as for `snapshot`.
EntryHosts EntryHostsFor(const state::Snapshot& snapshot,
                         const RegionName& region,
                         std::size_t first);

}  // namespace tamarackwing::gateway
