//! Both sides of the feed: followers and their sources.

#include <gtest/gtest.h>

#include "tamarackwing/control/feed_follower.h"
#include "tamarackwing/control/feed_source.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReport{300};
const TimePoint kStart = TimePoint() + std::chrono::hours(1);
const std::vector<HostName> kSources{HostName("a"), HostName("b")};

FeedReply ReplyTo(const FeedRequest& request, LogIndex commit) {
  FeedReply reply;
  reply.number = request.number;
  reply.commit = commit;
  reply.leader = HostName("a");
  reply.leader_contact_age = milliseconds(50);
  return reply;
}

TEST(FeedFollowerTest, LeaderContactIsRequestTimeMinusAgeAtSource) {
  FeedFollower follower(kReport, kStart);
  const FeedRequest request = follower.MakeRequest(kSources[0], 1, kStart);
  EXPECT_FALSE(follower.LeaderContact().has_value());
  EXPECT_TRUE(follower.HandleReply(kSources[0], ReplyTo(request, 3), 3,
                                   kStart + kReport));
  EXPECT_EQ(follower.LeaderContact(), kStart - milliseconds(50));
}

TEST(FeedFollowerTest, ReplyWithUnappliedCommitIsNoLeaderContact) {
  FeedFollower follower(kReport, kStart);
  const FeedRequest request = follower.MakeRequest(kSources[0], 1, kStart);
  EXPECT_TRUE(
      follower.HandleReply(kSources[0], ReplyTo(request, 3), 2, kStart));
  EXPECT_FALSE(follower.LeaderContact().has_value());
  EXPECT_EQ(follower.Commit(), 3U);
}

TEST(FeedFollowerTest, ReplyIsHandledOnce) {
  FeedFollower follower(kReport, kStart);
  const FeedRequest request = follower.MakeRequest(kSources[0], 1, kStart);
  EXPECT_TRUE(
      follower.HandleReply(kSources[0], ReplyTo(request, 0), 0, kStart));
  EXPECT_FALSE(
      follower.HandleReply(kSources[0], ReplyTo(request, 0), 0, kStart));
}

// Guards against a reply to an earlier process that proves a leader contact
// later than its source could know.
TEST(FeedFollowerTest, ReplyToEarlierProcessIsIgnored) {
  FeedFollower earlier(kReport, kStart);
  const FeedRequest old = earlier.MakeRequest(kSources[0], 1, kStart);
  FeedFollower follower(kReport, kStart, 1'000);
  const FeedRequest request =
      follower.MakeRequest(kSources[0], 1, kStart + kReport);
  EXPECT_FALSE(follower.HandleReply(kSources[0], ReplyTo(old, 3), 3,
                                    kStart + 2 * kReport));
  EXPECT_FALSE(follower.LeaderContact().has_value());
  EXPECT_TRUE(follower.HandleReply(kSources[0], ReplyTo(request, 3), 3,
                                   kStart + 2 * kReport));
}

TEST(FeedFollowerTest, MovesOnFromSilentSource) {
  FeedFollower follower(kReport, kStart);
  EXPECT_EQ(follower.Choose(kSources, HostName(), kStart), kSources[0]);
  EXPECT_EQ(follower.Choose(kSources, HostName(), kStart + 5 * kReport),
            kSources[1]);
}

TEST(FeedFollowerTest, NewLeaderRestartsFromFirstSource) {
  FeedFollower follower(kReport, kStart);
  const TimePoint later = kStart + 5 * kReport;
  follower.Choose(kSources, HostName(), kStart);
  EXPECT_EQ(follower.Choose(kSources, HostName(), later), kSources[1]);
  EXPECT_EQ(follower.Choose(kSources, HostName("b"), later), kSources[0]);
}

// Guards against a host that asks for the same entries again while they are on
// their way.
TEST(FeedFollowerTest, SlowReplyIsAwaited) {
  FeedFollower follower(kReport, kStart);
  const FeedRequest request = follower.MakeRequest(kSources[0], 1, kStart);
  const FeedRequest other = follower.MakeProbe(kSources[1], kStart + kReport);
  const FeedRequest probe = follower.MakeProbe(kSources[0], kStart + kReport);
  EXPECT_TRUE(follower.HandleReply(kSources[1], ReplyTo(other, 3), 0,
                                   kStart + 2 * kReport));
  EXPECT_TRUE(follower.AwaitsEntries(kStart + 2 * kReport));
  // The source replies in order, so the entries were lost.
  EXPECT_TRUE(follower.HandleReply(kSources[0], ReplyTo(probe, 3), 0,
                                   kStart + 2 * kReport));
  EXPECT_FALSE(follower.AwaitsEntries(kStart + 2 * kReport));
  EXPECT_FALSE(follower.HandleReply(kSources[0], ReplyTo(request, 3), 0,
                                    kStart + 2 * kReport));
}

TEST(FeedFollowerTest, ReplyOfAnotherSourceIsIgnored) {
  FeedFollower follower(kReport, kStart);
  const FeedRequest request = follower.MakeRequest(kSources[0], 1, kStart);
  EXPECT_FALSE(
      follower.HandleReply(kSources[1], ReplyTo(request, 3), 3, kStart));
  EXPECT_FALSE(follower.LeaderContact().has_value());
}

// Guards against a host that leaves a source with leader contact because it has
// not applied yet what that source sends.
TEST(FeedFollowerTest, StaysWithSourceWhoseEntriesAreOnTheirWay) {
  FeedFollower follower(kReport, kStart);
  TimePoint now = kStart;
  for (int i = 0; i < 20; ++i) {
    now += kReport;
    EXPECT_EQ(follower.Choose(kSources, HostName("a"), now), kSources[0]);
    const FeedRequest probe = follower.MakeProbe(kSources[0], now);
    EXPECT_TRUE(follower.HandleReply(kSources[0], ReplyTo(probe, 3), 2, now));
  }
}

TEST(FeedFollowerTest, ReturnsToBetterSourceThatHasLeaderContact) {
  FeedFollower follower(kReport, kStart);
  follower.Choose(kSources, HostName(), kStart);
  TimePoint now = kStart + 5 * kReport;
  EXPECT_EQ(follower.Choose(kSources, HostName(), now), kSources[1]);
  const auto better = follower.ProbeBetter(kSources, now);
  EXPECT_EQ(better, kSources[0]);
  EXPECT_FALSE(follower.ProbeBetter(kSources, now + kReport).has_value());
  const FeedRequest probe = follower.MakeBetterProbe(*better, now);
  EXPECT_TRUE(follower.HandleReply(kSources[0], ReplyTo(probe, 3), 3, now));
  EXPECT_EQ(follower.Choose(kSources, HostName(), now), kSources[0]);
  EXPECT_FALSE(follower.ProbeBetter(kSources, now + 5 * kReport).has_value());
}

// Guards against a host that stays for good with a source whose entries never
// arrive.
TEST(FeedFollowerTest, LeavesSourceWhoseEntriesNeverArrive) {
  FeedFollower follower(kReport, kStart);
  TimePoint now = kStart;
  HostName source = follower.Choose(kSources, HostName(), now);
  for (int i = 0; i < 4 && source == kSources[0]; ++i) {
    now += kReport;
    follower.MakeRequest(kSources[0], 3, now);
    const FeedRequest probe = follower.MakeProbe(kSources[0], now);
    EXPECT_TRUE(follower.HandleReply(kSources[0], ReplyTo(probe, 3), 2, now));
    source = follower.Choose(kSources, HostName(), now);
  }
  EXPECT_EQ(source, kSources[1]);
}

// Guards against a host that restarts its choice of a source whenever a host
// without leader contact names another leader.
TEST(FeedFollowerTest, LeaderIsNamedByTheSourceWithTheNewestContact) {
  FeedFollower follower(kReport, kStart);
  const TimePoint later = kStart + 2 * kReport;
  const FeedRequest request = follower.MakeProbe(kSources[0], later);
  EXPECT_TRUE(follower.HandleReply(kSources[0], ReplyTo(request, 3), 3, later));
  EXPECT_EQ(follower.Leader(), HostName("a"));
  for (const char* name : {"", "former"}) {
    const FeedRequest probe = follower.MakeProbe(kSources[1], later);
    FeedReply reply = ReplyTo(probe, 3);
    reply.leader = HostName(name);
    reply.leader_contact_age = milliseconds(5'000);
    EXPECT_TRUE(follower.HandleReply(kSources[1], reply, 3, later));
    EXPECT_EQ(follower.Leader(), HostName("a"));
  }
}

TEST(FeedFollowerTest, SourceThatIsNoLongerListedIsReplaced) {
  FeedFollower follower(kReport, kStart);
  const HostName gone("gone");
  EXPECT_EQ(follower.Choose({gone}, HostName(), kStart), gone);
  EXPECT_EQ(follower.Choose(kSources, HostName(), kStart), kSources[0]);
  EXPECT_EQ(follower.Source(), kSources[0]);
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
  FeedReply SendRequest(LogIndex next) {
    FeedRequest request;
    request.number = 7;
    request.next = next;
    return this->feed.HandleRequest(HostName("f"), request, this->Knowledge());
  }

  state::ControlState state;
  FeedSource feed;
};

TEST_F(FeedSourceTest, FollowerReceivesEachEntryOnce) {
  this->Apply("one");
  EXPECT_EQ(this->SendRequest(1).entries.size(), 1U);
  EXPECT_TRUE(this->feed.PendingUpdates(this->Knowledge()).empty());
  this->Apply("two");
  const auto updates = this->feed.PendingUpdates(this->Knowledge());
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_EQ(updates[0].reply.number, 0U);
  EXPECT_EQ(updates[0].reply.entries.back().payload, "two");
  EXPECT_TRUE(this->feed.PendingUpdates(this->Knowledge()).empty());
}

TEST_F(FeedSourceTest, FollowerFarBehindReceivesSnapshot) {
  for (int i = 0; i < 4; ++i) {
    this->Apply(std::string(64 * 1024, 'x'));
  }
  EXPECT_TRUE(this->SendRequest(1).snapshot.has_value());
  EXPECT_FALSE(this->SendRequest(4).snapshot.has_value());
}

//! Guards against a source that encodes its state for each of the hosts that
//! start together.
TEST_F(FeedSourceTest, EncodedStateIsSentAgainWithTheEntriesSince) {
  for (int i = 0; i < 4; ++i) {
    this->Apply(std::string(64 * 1024, 'x'));
  }
  EXPECT_EQ(this->SendRequest(1).snapshot->index, 4U);
  this->Apply("five");
  const FeedReply reply = this->SendRequest(1);
  EXPECT_EQ(reply.snapshot->index, 4U);
  ASSERT_EQ(reply.entries.size(), 1U);
  EXPECT_EQ(reply.entries[0].payload, "five");
  EXPECT_EQ(reply.commit, 5U);
}

TEST_F(FeedSourceTest, StateIsEncodedAgainAfterMuchHasChanged) {
  for (int i = 0; i < 4; ++i) {
    this->Apply(std::string(64 * 1024, 'x'));
  }
  EXPECT_EQ(this->SendRequest(1).snapshot->index, 4U);
  for (int i = 0; i < 3; ++i) {
    this->Apply(std::string(64 * 1024, 'x'));
  }
  const FeedReply reply = this->SendRequest(1);
  EXPECT_EQ(reply.snapshot->index, 7U);
  EXPECT_TRUE(reply.entries.empty());
}

TEST_F(FeedSourceTest, HostThatAsksForNoEntriesLearnsHowFarTheSourceIs) {
  this->Apply("one");
  const FeedReply reply = this->SendRequest(FeedRequest::kNoEntries);
  EXPECT_EQ(reply.commit, 1U);
  EXPECT_TRUE(reply.entries.empty());
  EXPECT_FALSE(reply.snapshot.has_value());
  this->Apply("two");
  EXPECT_TRUE(this->feed.PendingUpdates(this->Knowledge()).empty());
}

// Guards against sets that wait in line behind those that they replace.
TEST_F(FeedSourceTest, FollowerWithMuchOnItsWayReceivesNoUpdates) {
  this->SendRequest(1);
  this->Apply(std::string(100 * 1024, 'x'));
  EXPECT_EQ(this->feed.PendingUpdates(this->Knowledge()).size(), 1U);
  this->Apply("two");
  EXPECT_TRUE(this->feed.PendingUpdates(this->Knowledge()).empty());
  FeedRequest probe;
  probe.next = FeedRequest::kNoEntries;
  probe.statuses.resize(1);
  probe.statuses[0].record.name = HostName("f");
  probe.statuses[0].applied = 1;
  this->feed.HandleRequest(HostName("f"), probe, this->Knowledge());
  EXPECT_EQ(this->feed.PendingUpdates(this->Knowledge()).size(), 1U);
}

TEST_F(FeedSourceTest, FollowerThatAsksHowFarTheSourceIsGoesOnToReceive) {
  this->SendRequest(1);
  FeedRequest probe;
  probe.next = FeedRequest::kNoEntries;
  const TimePoint later = kStart + kReport;
  this->feed.HandleRequest(HostName("f"), probe, this->Knowledge(later));
  this->feed.DropSilent(later);
  this->Apply("one");
  EXPECT_EQ(this->feed.PendingUpdates(this->Knowledge(later)).size(), 1U);
}

TEST_F(FeedSourceTest, SilentFollowerReceivesNoUpdates) {
  this->SendRequest(1);
  this->feed.DropSilent(kStart + milliseconds(1));
  this->Apply("one");
  EXPECT_TRUE(this->feed.PendingUpdates(this->Knowledge()).empty());
}

}  // namespace
}  // namespace tamarackwing::control
