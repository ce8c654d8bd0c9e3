#pragma once

#include "tamarackwing/http/server_limits.h"
#include "tamarackwing/state/caller_limits.h"

namespace tamarackwing::gateway {

//! The bounds of callers: those of the set, and the listener's where the set
//! names none. Thread safety: reentrant.
http::ServerLimits BoundCallers(const state::CallerLimits& set,
                                http::ServerLimits listener);

//! The bounds of hosts that forward what callers sent: as much as those may
//! send and the headers that a forward adds, at the listener's times.
//! Thread safety: reentrant.
http::ServerLimits BoundForwards(const state::CallerLimits& set,
                                 http::ServerLimits listener);

}  // namespace tamarackwing::gateway
