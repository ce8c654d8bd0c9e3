#pragma once

#include <cstdint>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::policy {

//! How long the next request waits for a slot where `load` requests share
//! `slots` slots and each runs for `run`. Without slots nothing is known, and
//! the wait is zero. Preconditions: nothing is negative.
//! Thread safety: reentrant.
Duration SlotWait(double load, double slots, Duration run);

//! Whether a request is worth its wait; `target` is the time in which callers
//! want the first output, `key` is spread evenly over requests. Answers the
//! load pattern of more work than all engines have slots for: if all of it is
//! taken, all of it is late, and a request that is turned away at once leaves
//! its caller time for another try. The longer the wait, the fewer are taken,
//! and none beyond the target: whoever knows the wait late still takes about
//! the right part. All kinds of requests of a service go by the same target, so
//! that none starves beside one that may wait longer.
//! Thread safety: reentrant.
bool ShouldAdmit(Duration wait, Duration target, std::uint64_t key);

//! When a request that was turned away may be taken, with those that are turned
//! away together spread over twice that time. Thread safety: reentrant.
Duration ShedRetryDelay(Duration wait, Duration target, std::uint64_t key);

}  // namespace tamarackwing::policy
