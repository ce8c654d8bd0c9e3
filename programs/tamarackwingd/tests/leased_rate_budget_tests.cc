#include "leased_rate_budget.h"

#include <gtest/gtest.h>

#include <map>

namespace tamarackwing::daemon {
namespace {

const WorkspaceName kDesk("desk");
constexpr TokenCount kRate = 100'000;

class LeasedRateBudgetTest : public testing::Test {
 protected:
  LeasedRateBudgetTest() {
    auto set = std::make_shared<state::ConfigurationSet>();
    state::Workspace& desk = set->workspaces[kDesk];
    desk.name = kDesk;
    desk.rate = kRate;
    desk.burst = kRate;
    auto snapshot = std::make_shared<state::Snapshot>();
    snapshot->set = set;
    snapshot->entry_hosts = 10;
    this->snapshots.Set(snapshot);
    this->budget.SetKeepers(
        {[this](const policy::TokenRequest&,
                LeasedRateBudget::ReplyCallback callback) {
           callback(this->reply);
         },
         [this](const policy::TokenReturn& returned, const HostName&) {
           this->returned += returned.tokens;
         },
         {}});
  }

  gateway::BudgetAnswer Reserve(TokenCount tokens) {
    gateway::BudgetAnswer result;
    this->budget.Reserve(
        kDesk, tokens, this->clock.Now(),
        [&](gateway::BudgetAnswer answer) { result = answer; });
    return result;
  }

  ManualClock clock;
  gateway::SnapshotHolder snapshots;
  LeasedRateBudget budget{this->clock,
                          this->snapshots,
                          policy::RateLeaseOptions(),
                          {20'000, 0, std::chrono::seconds(8)}};
  std::optional<policy::TokenReply> reply;
  TokenCount returned = 0;
};

TEST_F(LeasedRateBudgetTest, KeeperDecides) {
  this->reply = policy::TokenReply{1, false, std::chrono::milliseconds(70), 9};
  EXPECT_FALSE(this->Reserve(100).granted);
  EXPECT_EQ(this->Reserve(100).retry_after, std::chrono::milliseconds(70));
  this->reply->granted = true;
  EXPECT_TRUE(this->Reserve(100).granted);
}

TEST_F(LeasedRateBudgetTest, TokensThatWereNotUsedReturnToTheirBucket) {
  this->reply = policy::TokenReply{1, true, {}, kRate};
  this->budget.Settle(kDesk, this->Reserve(900).reservation, 0);
  EXPECT_EQ(this->returned, 900);
  this->budget.Settle(kDesk, this->Reserve(900).reservation, 900);
  EXPECT_EQ(this->returned, 900);
  // Without a reply, this host's own share decides: a second request finds it
  // in debt, unless the first one's tokens have returned to it.
  this->reply.reset();
  const auto first = this->Reserve(9'000);
  EXPECT_TRUE(first.granted);
  EXPECT_FALSE(this->Reserve(9'000).granted);
  this->budget.Settle(kDesk, first.reservation, 0);
  EXPECT_TRUE(this->Reserve(9'000).granted);
  EXPECT_EQ(this->returned, 900);
}

TEST_F(LeasedRateBudgetTest, KeeperWithoutALeaseIsNotBelieved) {
  this->reply = policy::TokenReply{1, false, {}, 0};
  EXPECT_TRUE(this->Reserve(100).granted);
}

//! A budget that asks the keepers of several regions; `decision` is what they
//! decide.
class InquiringBudgetTest : public LeasedRateBudgetTest {
 protected:
  InquiringBudgetTest() {
    this->budget.SetKeepers(
        {[](const policy::TokenRequest&,
            const LeasedRateBudget::ReplyCallback&) { FAIL(); },
         [this](const policy::TokenReturn& returned, const HostName& keeper) {
           this->returned_to[keeper] += returned.tokens;
         },
         [this](const policy::TokenRequest&, TimePoint until,
                const LeasedRateBudget::DecisionCallback& callback) {
           this->asked += 1;
           this->latest = until;
           callback(this->decision, "sohar-1:refused");
         }});
  }

  policy::TokenDecision decision;
  std::map<HostName, TokenCount> returned_to;
  int asked = 0;
  TimePoint latest;
};

// Guards against tokens that return to a keeper that did not grant them, whose
// bucket would then have more than its lease.
TEST_F(InquiringBudgetTest, TokensReturnToTheKeeperThatGrantedThem) {
  for (const char* const keeper : {"sohar-1", "nizwa-1", "sohar-1"}) {
    this->decision = {policy::TokenVerdict::kGranted, HostName(keeper), true,
                      std::chrono::milliseconds(0), kRate};
    this->budget.Settle(kDesk, this->Reserve(700).reservation, 100);
  }
  EXPECT_EQ(this->returned_to[HostName("sohar-1")], 1'200);
  EXPECT_EQ(this->returned_to[HostName("nizwa-1")], 600);
  EXPECT_EQ(this->latest, this->clock.Now());
}

// Guards against a flood of one workspace that reaches the keepers of all
// regions.
TEST_F(InquiringBudgetTest, RefusalOfAllKeepersIsRememberedForAShortTime) {
  this->decision = {policy::TokenVerdict::kRefused,   HostName(), false,
                    std::chrono::milliseconds(2'000), 9,          true};
  for (int i = 0; i < 50; ++i) {
    EXPECT_FALSE(this->Reserve(100).granted);
  }
  EXPECT_EQ(this->asked, 1);
  EXPECT_EQ(this->Reserve(100).keepers, "refused_before");
  this->clock.Advance(std::chrono::milliseconds(200));
  EXPECT_EQ(this->Reserve(100).retry_after, std::chrono::milliseconds(1'800));
  this->clock.Advance(std::chrono::milliseconds(100));
  EXPECT_EQ(this->Reserve(100).keepers, "sohar-1:refused");
  EXPECT_EQ(this->asked, 2);
}

// Guards against calls that are refused because another call, with less time,
// could not wait for all keepers.
TEST_F(InquiringBudgetTest, RefusalOfSomeKeepersIsNotRemembered) {
  this->decision = {policy::TokenVerdict::kRefused, HostName(), false,
                    std::chrono::milliseconds(2'000), 9};
  EXPECT_FALSE(this->Reserve(100).granted);
  EXPECT_FALSE(this->Reserve(100).granted);
  EXPECT_EQ(this->asked, 2);
}

// Guards against a Retry-After of the static share's refill time, up to 25 s,
// while a lease is due in a fraction of a second.
TEST_F(InquiringBudgetTest, RefusalOfTheStaticShareNamesWhenALeaseIsDue) {
  this->decision.retry_after = std::chrono::milliseconds(300);
  EXPECT_TRUE(this->Reserve(90'000).granted);
  EXPECT_FALSE(this->Reserve(100).granted);
  EXPECT_EQ(this->Reserve(100).retry_after, std::chrono::milliseconds(300));
  // No keeper replies, so no lease is due.
  this->decision.retry_after.reset();
  EXPECT_GT(this->Reserve(100).retry_after, std::chrono::seconds(5));
}

}  // namespace
}  // namespace tamarackwing::daemon
