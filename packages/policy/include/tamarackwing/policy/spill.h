#pragma once

#include <cstdint>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::policy {

//! Whether a call should leave its region for one where it waits less. `near`
//! is the wait in its own region, `far` the wait in the other and the way
//! there; `key` is spread evenly over calls. Answers the load pattern of peaks
//! that rotate: one region waits while others idle, and all its hosts see the
//! same difference at once, so each sends away only a part of its calls.
//! Thread safety: reentrant.
bool ShouldSpill(Duration near, Duration far, std::uint64_t key);

}  // namespace tamarackwing::policy
