#include "leased_rate_budget.h"

#include <gtest/gtest.h>

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
    this->budget.SetKeepers({[this](const policy::TokenRequest&,
                                    LeasedRateBudget::ReplyCallback callback) {
                               callback(this->reply);
                             },
                             [this](const policy::TokenReturn& returned) {
                               this->returned += returned.tokens;
                             }});
  }

  gateway::BudgetAnswer Reserve(TokenCount tokens) {
    gateway::BudgetAnswer result;
    this->budget.Reserve(
        kDesk, tokens, [&](gateway::BudgetAnswer answer) { result = answer; });
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

}  // namespace
}  // namespace tamarackwing::daemon
