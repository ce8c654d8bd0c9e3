#pragma once

#include <memory>
#include <string>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::operators {

//! Returns the document of the newest configuration set, or null if this host
//! may not have the newest one. `now` is a time of the clock that
//! `Snapshot::leader_contact` uses.
//! Thread safety: as for `snapshot`.
std::shared_ptr<const std::string> ReadDocument(const state::Snapshot& snapshot,
                                                TimePoint now);

}  // namespace tamarackwing::operators
