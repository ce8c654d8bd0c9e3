#pragma once

#include <memory>
#include <string>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::operators {

//! The document of the newest set; null where this host cannot be sure which is
//! the newest. `now` is by the clock of the snapshot's word.
//! Thread safety: as for `snapshot`.
std::shared_ptr<const std::string> ReadDocument(const state::Snapshot& snapshot,
                                                TimePoint now);

}  // namespace tamarackwing::operators
