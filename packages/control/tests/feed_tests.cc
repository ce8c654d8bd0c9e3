//! Hosts that follow others, and the hosts that they follow.

#include <gtest/gtest.h>

#include "tamarackwing/control/feed_follower.h"
#include "tamarackwing/control/feed_source.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReport{300};
const TimePoint kStart = TimePoint() + std::chrono::hours(1);
const std::vector<HostName> kSources{HostName("a"), HostName("b")};

FeedReply AnswerTo(const FeedRequest& request, LogIndex commit) {
  FeedReply reply;
  reply.number = request.number;
  reply.commit = commit;
  reply.leader = HostName("a");
  reply.leader_contact_age = milliseconds(50);
  return reply;
}

TEST(FeedFollowing, WordCountsFromTheQuestionAndTheSourcesOwnWord) {
  FeedFollower follower(kReport, kStart);
  const FeedRequest request = follower.MakeRequest(1, kStart);
  EXPECT_FALSE(follower.LeaderContact().has_value());
  EXPECT_TRUE(follower.Take(AnswerTo(request, 3), 3, kStart + kReport));
  EXPECT_EQ(follower.LeaderContact(), kStart - milliseconds(50));
}

TEST(FeedFollowing, WordOfWhatIsNotInForceDoesNotCount) {
  FeedFollower follower(kReport, kStart);
  const FeedRequest request = follower.MakeRequest(1, kStart);
  EXPECT_TRUE(follower.Take(AnswerTo(request, 3), 2, kStart));
  EXPECT_FALSE(follower.LeaderContact().has_value());
  EXPECT_EQ(follower.Commit(), 3U);
}

TEST(FeedFollowing, AnAnswerCountsOnce) {
  FeedFollower follower(kReport, kStart);
  const FeedRequest request = follower.MakeRequest(1, kStart);
  EXPECT_TRUE(follower.Take(AnswerTo(request, 0), 0, kStart));
  EXPECT_FALSE(follower.Take(AnswerTo(request, 0), 0, kStart));
}

TEST(FeedFollowing, ASilentSourceIsLeft) {
  FeedFollower follower(kReport, kStart);
  EXPECT_EQ(follower.Choose(kSources, HostName(), kStart), kSources[0]);
  EXPECT_EQ(follower.Choose(kSources, HostName(), kStart + 5 * kReport),
            kSources[1]);
}

TEST(FeedFollowing, ANewLeaderStartsTheSearchAnew) {
  FeedFollower follower(kReport, kStart);
  const TimePoint later = kStart + 5 * kReport;
  follower.Choose(kSources, HostName(), kStart);
  EXPECT_EQ(follower.Choose(kSources, HostName(), later), kSources[1]);
  EXPECT_EQ(follower.Choose(kSources, HostName("b"), later), kSources[0]);
}

class FeedSourceTest : public testing::Test {
 protected:
  void Apply(const std::string& payload) {
    state::LogEntry entry;
    entry.index = this->state.Applied() + 1;
    entry.payload = payload;
    this->state.Skip(entry.index);
    this->feed.Keep(entry);
  }
  FeedKnowledge Knowledge(TimePoint now = kStart) const {
    return {this->state, HostName("a"), kStart, now};
  }
  FeedReply Ask(LogIndex next) {
    FeedRequest request;
    request.number = 7;
    request.next = next;
    return this->feed.Answer(HostName("f"), request, this->Knowledge());
  }

  state::ControlState state;
  FeedSource feed;
};

TEST_F(FeedSourceTest, AFollowerIsToldEachEntryOnce) {
  this->Apply("one");
  EXPECT_EQ(this->Ask(1).entries.size(), 1U);
  EXPECT_TRUE(this->feed.PendingUpdates(this->Knowledge()).empty());
  this->Apply("two");
  const auto updates = this->feed.PendingUpdates(this->Knowledge());
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_EQ(updates[0].reply.number, 0U);
  EXPECT_EQ(updates[0].reply.entries.back().payload, "two");
  EXPECT_TRUE(this->feed.PendingUpdates(this->Knowledge()).empty());
}

TEST_F(FeedSourceTest, WhoeverIsFarBehindGetsASnapshot) {
  for (int i = 0; i < 4; ++i) {
    this->Apply(std::string(64 * 1024, 'x'));
  }
  EXPECT_TRUE(this->Ask(1).snapshot.has_value());
  EXPECT_FALSE(this->Ask(4).snapshot.has_value());
}

TEST_F(FeedSourceTest, AFollowerThatFallsSilentIsToldNoMore) {
  this->Ask(1);
  this->feed.DropSilent(kStart + milliseconds(1));
  this->Apply("one");
  EXPECT_TRUE(this->feed.PendingUpdates(this->Knowledge()).empty());
}

}  // namespace
}  // namespace tamarackwing::control
