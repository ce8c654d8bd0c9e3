#pragma once

#include "tamarackwing/http/server_limits.h"
#include "tamarackwing/state/caller_limits.h"

namespace tamarackwing::gateway {

//! Returns the limits on callers' requests: those of the configuration set, and
//! the listener's for those that the set leaves out. Thread safety: reentrant.
http::ServerLimits BoundCallers(const state::CallerLimits& set,
                                http::ServerLimits listener);

//! Returns the limits on requests forwarded by other hosts: sizes of at least
//! the callers' and the listener's limits, plus room for the headers that
//! forwarding adds, and the listener's timeouts. Thread safety: reentrant.
http::ServerLimits BoundForwards(const state::CallerLimits& set,
                                 http::ServerLimits listener);

}  // namespace tamarackwing::gateway
