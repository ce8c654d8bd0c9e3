#pragma once

#include <optional>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/base/refusal.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::gateway {

//! For whom a request runs.
struct Grant {
  //! Empty for a request on a route open to all that came without a key.
  WorkspaceName workspace;
  KeyDigest key;
  std::uint32_t weight = 1;
};

//! Checks a key in a snapshot. Errors: kKeyInvalid, kKeyWithdrawn,
//! kKeyNotFresh, kNotReady. Thread safety: reentrant.
Expected<Grant, RefusalCode> AuthorizeKey(const state::Snapshot& snapshot,
                                          const KeyDigest& key,
                                          const RegionName& region,
                                          TimePoint now);

//! Finds a route. Errors: kUnknownRoute. Thread safety: as for `snapshot`.
Expected<const state::Route*, RefusalCode> FindRoute(
    const state::Snapshot& snapshot,
    const RouteName& route);

//! Whether the workspace's and the route's rules allow `region`; a request for
//! nobody is bound by the route's alone. Thread safety: reentrant.
bool MayRunIn(const state::Snapshot& snapshot,
              const WorkspaceName& workspace,
              const state::Route& route,
              const RegionName& region);
//! The same for a path route.
bool MayRunIn(const state::Snapshot& snapshot,
              const WorkspaceName& workspace,
              const state::PathRoute& route,
              const RegionName& region);

}  // namespace tamarackwing::gateway
