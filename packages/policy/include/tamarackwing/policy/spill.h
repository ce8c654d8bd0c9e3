#pragma once

#include <cstdint>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::policy {

//! Returns whether a call should spill over to another region with a shorter
//! wait. `local_wait` is the wait in its own region, `remote_wait` the wait in
//! the other one plus the network latency; `key` must be uniformly distributed
//! over calls. Handles peaks that rotate among regions: calls wait in one
//! region while others are idle. Only a share of the calls is sent away, since
//! all hosts of the region see the same difference at once. Thread safety:
//! reentrant.
bool ShouldSpill(Duration local_wait, Duration remote_wait, std::uint64_t key);

}  // namespace tamarackwing::policy
