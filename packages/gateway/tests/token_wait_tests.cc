//! Tests of how long a call may wait for tokens of other regions.

#include <gtest/gtest.h>

#include "path_gateway_fixture.h"

namespace tamarackwing::gateway {
namespace {

using std::chrono::milliseconds;

class TokenWaitTest : public PathGatewayTest {
 protected:
  TokenWaitTest() : PathGatewayTest(std::make_unique<NullPathProtocol>()) {
    // The workspace of routes that are open.
    this->set.workspaces[WorkspaceName()].rate = 1'000;
    this->AddRoute("chat", state::PathKind::kStream);
  }

  static milliseconds Half(milliseconds target) {
    return (target > milliseconds(0) ? target : milliseconds(3'000)) / 2;
  }
  //! Returns how long a call may ask other hosts for tokens, from just before
  //! the call; it is checked to be no longer from just after it.
  Duration WaitWithTarget(milliseconds target) {
    this->set.path_routes.at(RouteName("chat")).target_latency = target;
    this->Publish();
    const TimePoint before = this->clock.Now();
    this->Serve("/chat/1");
    const TimePoint after = this->clock.Now();
    EXPECT_LE(this->budget.last_latest - after, Half(target));
    return this->budget.last_latest - before;
  }
};

// Guards against waits for tokens that use up the time for the response: half
// of the latency target is for it, or without one of the deadline (3 s).
TEST_F(TokenWaitTest, WaitIsAtMostHalfOfTheLatencyTarget) {
  EXPECT_GE(this->WaitWithTarget(milliseconds(800)), milliseconds(400));
  EXPECT_GE(this->WaitWithTarget(milliseconds(0)), milliseconds(1'500));
}

}  // namespace
}  // namespace tamarackwing::gateway
