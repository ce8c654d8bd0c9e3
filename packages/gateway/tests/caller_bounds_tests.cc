#include "caller_bounds.h"

#include <gtest/gtest.h>

namespace tamarackwing::gateway {
namespace {

using std::chrono::milliseconds;

TEST(CallerBounds, ConfigurationSetOverridesListenerLimits) {
  state::CallerLimits set;
  set.body_bytes = 100;
  set.head_timeout = milliseconds(30);
  const http::ServerLimits listener;
  const http::ServerLimits bounds = BoundCallers(set, listener);
  EXPECT_EQ(bounds.body_bytes, 100U);
  EXPECT_EQ(bounds.head_timeout, milliseconds(30));
  EXPECT_EQ(bounds.head_bytes, listener.head_bytes);
  EXPECT_EQ(bounds.idle_timeout, listener.idle_timeout);
}

TEST(CallerBounds, ForwardedRequestMayBeLargerThanCallersRequest) {
  state::CallerLimits set;
  set.head_bytes = 64 * 1024;
  set.body_bytes = 100;
  set.head_timeout = milliseconds(30);
  const http::ServerLimits listener;
  const http::ServerLimits bounds = BoundForwards(set, listener);
  EXPECT_GT(bounds.head_bytes, *set.head_bytes);
  EXPECT_EQ(bounds.body_bytes, listener.body_bytes);
  EXPECT_EQ(bounds.head_timeout, listener.head_timeout);
}

}  // namespace
}  // namespace tamarackwing::gateway
