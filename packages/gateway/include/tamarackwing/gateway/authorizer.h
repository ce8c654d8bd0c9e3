#pragma once

#include <optional>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/base/refusal.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::gateway {

//! Result of checking a key: the workspace on whose behalf a request runs.
struct Grant {
  //! Empty for a request without a key on an open route.
  WorkspaceName workspace;
  KeyDigest key;
  //! The workspace's weight in fair queueing.
  std::uint32_t weight = 1;
};

//! Checks a key against a snapshot. Outside the key's home regions the snapshot
//! must be fresh at `now`. Errors: kKeyInvalid, kKeyWithdrawn, kKeyNotFresh,
//! kNotReady. Thread safety: reentrant.
Expected<Grant, RefusalCode> AuthorizeKey(const state::Snapshot& snapshot,
                                          const KeyDigest& key,
                                          const RegionName& region,
                                          TimePoint now);

//! Finds a route; the result points into `snapshot`. Errors: kNotReady,
//! kUnknownRoute. Thread safety: as for `snapshot`.
Expected<const state::Route*, RefusalCode> FindRoute(
    const state::Snapshot& snapshot,
    const RouteName& route);

//! Returns whether the residency rules of the workspace and the route allow
//! `region`. If the workspace is empty, the route must be open and only its
//! rule applies. Thread safety: reentrant.
bool MayRunIn(const state::Snapshot& snapshot,
              const WorkspaceName& workspace,
              const state::Route& route,
              const RegionName& region);
//! Overload for a path route.
bool MayRunIn(const state::Snapshot& snapshot,
              const WorkspaceName& workspace,
              const state::PathRoute& route,
              const RegionName& region);

}  // namespace tamarackwing::gateway
