//! Tests of which calls count as offered work and which follow the plan that
//! moves calls to other regions. No server and no other host listens, so each
//! call is refused in the end.

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "path_gateway_fixture.h"

namespace tamarackwing::gateway {
namespace {

using std::chrono::milliseconds;

SchedulingSettings SpillsAhead() {
  SchedulingSettings settings;
  settings.spill_ahead = true;
  return settings;
}

class PathSpillTest : public PathGatewayTest {
 protected:
  explicit PathSpillTest(SchedulingSettings scheduling = SpillsAhead())
      : PathGatewayTest(std::make_unique<NullPathProtocol>(), scheduling) {}

  void SetUp() override {
    this->AddRoute("chat", state::PathKind::kStream);
    this->AddHost("p-1", "plzen");
    this->AddHost("t-1", "tabor");
    PlannedRegion region;
    region.host.host = HostName("p-1");
    region.host.region = RegionName("plzen");
    region.host.endpoint = Local(this->UnusedPort());
    region.round_trip = milliseconds(160);
    region.per_mille = 1'000;
    auto plan = std::make_shared<SpillPlan>();
    plan->regions.push_back(region);
    plan->per_mille = 1'000;
    this->regions.plan = plan;
    this->SetRoute(milliseconds(800), {"muscat", "plzen"});
  }

  void AddHost(const std::string& name, const std::string& region) {
    state::HostRecord host;
    host.name = HostName(name);
    host.region = RegionName(region);
    host.caller_port = 1;
    this->hosts[host.name] = host;
  }

  void SetRoute(milliseconds target, const std::set<std::string>& homes) {
    this->set.path_routes[RouteName("chat")].target_latency = target;
    const state::ResidencyRuleName rule("here");
    this->set.residency_rules[rule] = {rule, {}};
    for (const std::string& home : homes) {
      this->set.residency_rules[rule].regions.push_back(RegionName(home));
    }
    this->Publish();
  }

  //! Serves a call with a prompt, forwarded by `origin` if that is set.
  void ServeChat(std::optional<std::string> origin = std::nullopt) {
    PathCall call = this->MakeCall("/chat/1");
    call.prompt = PromptShape{826, 290, {{1, 198}, {2, 628}}};
    std::optional<ForwardedCall> forwarded;
    if (origin) {
      forwarded = ForwardedCall();
      forwarded->origin = HostName(*origin);
    }
    this->ServeCall(std::move(call), std::move(forwarded));
  }

  bool HasMoved() const {
    return this->metrics.Render().find("tamarackwing_moved_calls_total") !=
           std::string::npos;
  }
};

TEST_F(PathSpillTest, CallMovesToThePlannedRegion) {
  this->ServeChat();
  EXPECT_TRUE(this->HasMoved());
  ASSERT_EQ(this->regions.offered.size(), 1U);
  EXPECT_EQ(this->regions.offered[0].own_tokens, 628);
  EXPECT_EQ(this->regions.offered[0].output_tokens, 290);
  EXPECT_TRUE(this->regions.offered[0].is_movable);
}

TEST_F(PathSpillTest, CallOfAHomeBoundRouteStays) {
  this->SetRoute(milliseconds(800), {"muscat"});
  this->ServeChat();
  EXPECT_FALSE(this->HasMoved());
  ASSERT_EQ(this->regions.offered.size(), 1U);
  EXPECT_FALSE(this->regions.offered[0].is_movable);
}

//! The round trip would take more than a quarter of the target.
TEST_F(PathSpillTest, CallStaysIfTheRoundTripIsLongForItsTarget) {
  this->SetRoute(milliseconds(600), {"muscat", "plzen"});
  this->ServeChat();
  EXPECT_FALSE(this->HasMoved());
  EXPECT_FALSE(this->regions.offered.at(0).is_movable);
}

TEST_F(PathSpillTest, CallOfARouteWithoutTargetStays) {
  this->SetRoute(milliseconds(0), {"muscat", "plzen"});
  this->ServeChat();
  EXPECT_FALSE(this->HasMoved());
}

TEST_F(PathSpillTest, CallStaysWithoutAPlan) {
  this->regions.plan = nullptr;
  this->ServeChat();
  EXPECT_FALSE(this->HasMoved());
}

TEST_F(PathSpillTest, CallStaysIfThePlannedHostIsGone) {
  this->hosts.erase(HostName("p-1"));
  this->Publish();
  this->ServeChat();
  EXPECT_FALSE(this->HasMoved());
}

TEST_F(PathSpillTest, OnlyStreamsWithAPromptMove) {
  this->AddRoute("quote", state::PathKind::kIdempotent);
  this->Serve("/quote/1");
  this->Serve("/chat/1");
  EXPECT_FALSE(this->HasMoved());
  EXPECT_TRUE(this->regions.offered.empty());
}

//! A moved call that counted here, too, would make this region look hot.
TEST_F(PathSpillTest, CallMovedHereCountsOnlyInItsOwnRegion) {
  this->ServeChat("p-1");
  EXPECT_TRUE(this->regions.offered.empty());
  EXPECT_FALSE(this->HasMoved());
}

//! No other region would count it.
TEST_F(PathSpillTest, CallThatItsRegionMayNotServeCountsHereAndStays) {
  this->ServeChat("t-1");
  ASSERT_EQ(this->regions.offered.size(), 1U);
  EXPECT_FALSE(this->regions.offered[0].is_movable);
  EXPECT_FALSE(this->HasMoved());
}

TEST_F(PathSpillTest, CallThatMayNotRunHereCountsElsewhere) {
  this->SetRoute(milliseconds(800), {"plzen"});
  this->ServeChat();
  EXPECT_TRUE(this->regions.offered.empty());
}

class PathSpillOffTest : public PathSpillTest {
 protected:
  PathSpillOffTest() : PathSpillTest(SchedulingSettings()) {}
};

TEST_F(PathSpillOffTest, NothingIsMeasuredOrMovedWithoutTheSwitch) {
  this->ServeChat();
  EXPECT_TRUE(this->regions.offered.empty());
  EXPECT_FALSE(this->HasMoved());
}

}  // namespace
}  // namespace tamarackwing::gateway
