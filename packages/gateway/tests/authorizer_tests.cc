#include "tamarackwing/gateway/authorizer.h"

#include <gtest/gtest.h>

namespace tamarackwing::gateway {
namespace {

const RegionName kMuscat("muscat");
const RegionName kSohar("sohar");
const KeyDigest kKey("key");

class AuthorizerTest : public testing::Test {
 protected:
  void SetUp() override {
    auto set = std::make_shared<state::ConfigurationSet>();
    const state::ResidencyRuleName here("here");
    set->residency_rules[here] = {here, {kMuscat}};
    state::Workspace desk;
    desk.name = WorkspaceName("desk");
    desk.residency = here;
    set->workspaces[desk.name] = desk;
    set->keys[kKey] = {kKey, desk.name, {kMuscat}};
    this->route.residency = here;
    this->snapshot.set = std::move(set);
    this->snapshot.ready = true;
    this->snapshot.keys_fresh_until = this->now + std::chrono::seconds(5);
  }

  TimePoint now{std::chrono::hours(1)};
  state::Snapshot snapshot;
  state::Route route;
};

TEST_F(AuthorizerTest, KeyGrantsItsWorkspace) {
  const auto grant = AuthorizeKey(this->snapshot, kKey, kSohar, this->now);
  ASSERT_TRUE(grant.has_value());
  EXPECT_EQ(grant->workspace, WorkspaceName("desk"));
}

TEST_F(AuthorizerTest, RefusesWithdrawnKeyStillInConfigurationSet) {
  this->snapshot.withdrawn =
      std::make_shared<const std::set<KeyDigest>>(std::set{kKey});
  EXPECT_EQ(AuthorizeKey(this->snapshot, kKey, kMuscat, this->now).error(),
            RefusalCode::kKeyWithdrawn);
}

TEST_F(AuthorizerTest, StaleSnapshotAcceptsKeysInHomeRegionsOnly) {
  const TimePoint late = this->now + std::chrono::seconds(6);
  EXPECT_TRUE(AuthorizeKey(this->snapshot, kKey, kMuscat, late).has_value());
  EXPECT_EQ(AuthorizeKey(this->snapshot, kKey, kSohar, late).error(),
            RefusalCode::kKeyNotFresh);
}

TEST_F(AuthorizerTest, RefusesKeysUntilReady) {
  this->snapshot.ready = false;
  EXPECT_EQ(AuthorizeKey(this->snapshot, kKey, kMuscat, this->now).error(),
            RefusalCode::kNotReady);
}

TEST_F(AuthorizerTest, ResidencyRulesLimitRegions) {
  const WorkspaceName desk("desk");
  EXPECT_TRUE(MayRunIn(this->snapshot, desk, this->route, kMuscat));
  EXPECT_FALSE(MayRunIn(this->snapshot, desk, this->route, kSohar));
  EXPECT_FALSE(
      MayRunIn(this->snapshot, WorkspaceName("x"), this->route, kMuscat));
}

TEST_F(AuthorizerTest, RequestWithoutKeyNeedsOpenRoute) {
  EXPECT_FALSE(MayRunIn(this->snapshot, WorkspaceName(), this->route, kMuscat));
  this->route.open = true;
  EXPECT_TRUE(MayRunIn(this->snapshot, WorkspaceName(), this->route, kMuscat));
}

}  // namespace
}  // namespace tamarackwing::gateway
