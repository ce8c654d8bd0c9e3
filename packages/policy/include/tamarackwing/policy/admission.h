#pragma once

#include <cstdint>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::policy {

//! Returns the expected wait of the next request for a slot if `load` requests
//! share `slots` slots and each runs for `run`. The wait is zero if there are
//! no slots, since it cannot be estimated then. Preconditions: no argument is
//! negative.
//! Thread safety: reentrant.
Duration SlotWait(double load, double slots, Duration run);

//! Returns whether to admit a request with the given wait or to shed it.
//! `target` is the time within which callers expect the first output; without a
//! positive target all requests are admitted. `key` must be uniformly
//! distributed over requests.
//!
//! Handles overload of all engines: if every request is admitted, every one is
//! late, whereas one that is shed at once leaves its caller time to retry. The
//! admitted share falls gradually as the wait approaches the target, so that
//! hosts with an outdated value of the wait still admit about the right share.
//! All kinds of requests of a service have the same target: otherwise those
//! that may wait longer would starve the others. Thread safety: reentrant.
bool ShouldAdmit(Duration wait, Duration target, std::uint64_t key);

//! When a request would get its answer if it started now.
struct ExpectedTimes {
  //! Until its prefill starts.
  Duration wait{};
  //! Of its own prefill.
  Duration prefill{};
  //! From its first output to its end.
  Duration run{};
};

//! Returns whether a request can end within the time that is left. Handles
//! overload in which requests that cannot meet their deadlines take slots and
//! prefill time from those that can: a server works on each until its deadline
//! cuts it. Thread safety: reentrant.
bool FitsDeadline(const ExpectedTimes& expected, Duration left);

//! Returns the delay after which a shed request should be retried: the time
//! until requests are likely to be admitted, lengthened by up to its own length
//! depending on `key`, so that requests shed together don't return together.
//! Thread safety: reentrant.
Duration ShedRetryDelay(Duration wait, Duration target, std::uint64_t key);

}  // namespace tamarackwing::policy
