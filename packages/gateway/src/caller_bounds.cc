#include "caller_bounds.h"

#include <algorithm>

namespace tamarackwing::gateway {
namespace {

//! Room for the headers that forwarding adds: names and a digest.
constexpr std::uint32_t kForwardHeadBytes = 2 * 1024;

}  // namespace

http::ServerLimits BoundCallers(const state::CallerLimits& set,
                                http::ServerLimits listener) {
  listener.head_bytes = set.head_bytes.value_or(listener.head_bytes);
  listener.body_bytes = set.body_bytes.value_or(listener.body_bytes);
  listener.head_timeout = set.head_timeout.value_or(listener.head_timeout);
  listener.idle_timeout = set.idle_timeout.value_or(listener.idle_timeout);
  return listener;
}

http::ServerLimits BoundForwards(const state::CallerLimits& set,
                                 http::ServerLimits listener) {
  const http::ServerLimits callers = BoundCallers(set, listener);
  listener.head_bytes =
      std::max(listener.head_bytes, callers.head_bytes) + kForwardHeadBytes;
  listener.body_bytes = std::max(listener.body_bytes, callers.body_bytes);
  return listener;
}

}  // namespace tamarackwing::gateway
