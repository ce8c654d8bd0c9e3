#include "tamarackwing/policy/token_inquiry.h"

#include <gtest/gtest.h>

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;

const HostName kOwn("muscat-1");
const HostName kOwnSecond("muscat-2");
const HostName kSohar("sohar-1");
const HostName kNizwa("nizwa-1");

TokenReply Granted() {
  return {1, true, milliseconds(0), 500};
}

TokenReply Refused(milliseconds retry_after) {
  return {1, false, retry_after, 500};
}

TokenReply NoLease() {
  return {1, false, milliseconds(25'000), 0};
}

class TokenInquiryTest : public testing::Test {
 protected:
  TokenInquiry::Step Reply(const HostName& keeper, const TokenReply& reply) {
    return this->inquiry.NoteReply(keeper, reply, this->clock.Now());
  }
  TokenInquiry::Step Expire(milliseconds after) {
    this->clock.Advance(after);
    return this->inquiry.Expire(this->clock.Now());
  }

  ManualClock clock;
  TokenInquiry inquiry{{kOwn, kOwnSecond},
                       [] {
                         return std::vector<HostName>{kSohar, kNizwa};
                       },
                       clock.Now() + milliseconds(400),
                       TokenInquiryOptions()};
};

// Guards against load on other regions by requests that need none of it.
TEST_F(TokenInquiryTest, GrantOfTheRegionsKeeperIsUsedAlone) {
  EXPECT_EQ(this->inquiry.Start(this->clock.Now()).ask,
            std::vector<HostName>{kOwn});
  const auto step = this->Reply(kOwn, Granted());
  EXPECT_TRUE(step.ask.empty());
  ASSERT_TRUE(step.decision);
  EXPECT_EQ(step.decision->verdict, TokenVerdict::kGranted);
  EXPECT_FALSE(step.decision->is_from_other_region);
  EXPECT_TRUE(this->inquiry.IsDone(this->clock.Now()));
}

// Guards against tokens that are used and returned, or kept by two keepers.
TEST_F(TokenInquiryTest, FirstGrantWinsAndSecondIsReturnedOnce) {
  this->inquiry.Start(this->clock.Now());
  const auto refused = this->Reply(kOwn, Refused(milliseconds(900)));
  EXPECT_EQ(refused.ask, (std::vector<HostName>{kSohar, kNizwa}));
  EXPECT_FALSE(refused.decision);
  EXPECT_TRUE(this->inquiry.IsCounted(kSohar));
  const auto first = this->Reply(kNizwa, Granted());
  ASSERT_TRUE(first.decision);
  EXPECT_EQ(first.decision->keeper, kNizwa);
  EXPECT_TRUE(first.decision->is_from_other_region);
  EXPECT_FALSE(first.returns_tokens);
  EXPECT_FALSE(this->Reply(kNizwa, Granted()).returns_tokens);
  EXPECT_TRUE(this->Reply(kSohar, Granted()).returns_tokens);
  EXPECT_FALSE(this->Reply(kSohar, Granted()).returns_tokens);
  EXPECT_TRUE(this->inquiry.IsDone(this->clock.Now()));
}

TEST_F(TokenInquiryTest, RefusalNamesTheShortestWait) {
  this->inquiry.Start(this->clock.Now());
  this->Reply(kOwn, Refused(milliseconds(900)));
  this->Reply(kSohar, Refused(milliseconds(70)));
  const auto step = this->Reply(kNizwa, NoLease());
  ASSERT_TRUE(step.decision);
  EXPECT_EQ(step.decision->verdict, TokenVerdict::kRefused);
  EXPECT_EQ(step.decision->retry_after, milliseconds(70));
  EXPECT_EQ(this->inquiry.Answers(),
            "muscat-1:refused,sohar-1:refused,nizwa-1:no_lease");
}

// Guards against the refill time of the static share, up to 25 s, as the delay
// of a refusal that a lease ends in half a second.
TEST_F(TokenInquiryTest, WithoutALeaseAnywhereALeaseIsDueSoon) {
  this->inquiry.Start(this->clock.Now());
  this->Reply(kOwn, NoLease());
  this->Reply(kSohar, NoLease());
  const auto step = this->Reply(kNizwa, NoLease());
  ASSERT_TRUE(step.decision);
  EXPECT_EQ(step.decision->verdict, TokenVerdict::kUseStaticShare);
  EXPECT_EQ(step.decision->retry_after, TokenInquiryOptions().lease_due);
}

TEST_F(TokenInquiryTest, SilentKeeperIsFollowedByTheRegionsNext) {
  this->inquiry.Start(this->clock.Now());
  EXPECT_TRUE(this->Expire(milliseconds(249)).ask.empty());
  const auto next = this->Expire(milliseconds(1));
  EXPECT_EQ(next.silent, std::vector<HostName>{kOwn});
  EXPECT_EQ(next.ask, std::vector<HostName>{kOwnSecond});
  // The silent keeper may not have counted the tokens.
  EXPECT_FALSE(this->inquiry.IsCounted(kOwnSecond));
  EXPECT_TRUE(this->Reply(kOwnSecond, Granted()).decision);
  EXPECT_TRUE(this->Reply(kOwn, Granted()).returns_tokens);
}

// Guards against waits beyond the time that the request's target leaves, and
// against tokens lost with grants that come later.
TEST_F(TokenInquiryTest, LatestTimeDecidesAndLateGrantIsReturned) {
  this->inquiry.Start(this->clock.Now());
  this->clock.Advance(milliseconds(200));
  this->Reply(kOwn, Refused(milliseconds(900)));
  EXPECT_FALSE(this->Expire(milliseconds(199)).decision);
  const auto step = this->Expire(milliseconds(1));
  ASSERT_TRUE(step.decision);
  EXPECT_EQ(step.decision->verdict, TokenVerdict::kRefused);
  EXPECT_FALSE(this->inquiry.IsDone(this->clock.Now()));
  EXPECT_TRUE(this->Reply(kSohar, Granted()).returns_tokens);
  EXPECT_FALSE(this->Expire(milliseconds(10)).decision);
  this->clock.Advance(TokenInquiryOptions().late_grants);
  EXPECT_TRUE(this->inquiry.IsDone(this->clock.Now()));
}

TEST_F(TokenInquiryTest, WithoutAnyReplyTheStaticShareDecidesAsBefore) {
  this->inquiry.Start(this->clock.Now());
  const auto step = this->Expire(milliseconds(400));
  ASSERT_TRUE(step.decision);
  EXPECT_EQ(step.decision->verdict, TokenVerdict::kUseStaticShare);
  EXPECT_FALSE(step.decision->retry_after);
  TokenInquiry alone({}, nullptr, this->clock.Now() + milliseconds(400), {});
  EXPECT_TRUE(alone.Start(this->clock.Now()).decision);
}

// Guards against a workspace far over its rate that makes the keepers of all
// regions handle each of its requests.
TEST(RefusedWorkspacesTest, RefusalIsRememberedForAShortTime) {
  ManualClock clock;
  RefusedWorkspaces refused;
  const WorkspaceName desk("desk");
  EXPECT_FALSE(refused.RetryAfter(desk, clock.Now()));
  refused.Note(desk, milliseconds(2'000), clock.Now());
  clock.Advance(milliseconds(200));
  EXPECT_EQ(refused.RetryAfter(desk, clock.Now()), milliseconds(1'800));
  EXPECT_FALSE(refused.RetryAfter(WorkspaceName("other"), clock.Now()));
  clock.Advance(milliseconds(100));
  EXPECT_FALSE(refused.RetryAfter(desk, clock.Now()));
  // A short wait is remembered no longer than it lasts.
  refused.Note(desk, milliseconds(40), clock.Now());
  clock.Advance(milliseconds(40));
  EXPECT_FALSE(refused.RetryAfter(desk, clock.Now()));
}

}  // namespace
}  // namespace tamarackwing::policy
