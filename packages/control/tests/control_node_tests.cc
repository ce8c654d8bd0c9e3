#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "control_cluster.h"

namespace tamarackwing::control {
namespace {

using state::ApplyKind;
using state::PermitVerdict;
using std::chrono::milliseconds;

const std::vector<std::string> kRegions{"muscat", "sohar", "salalah"};
const HostName kMuscat1("muscat-1");
const HostName kMuscat2("muscat-2");
const HostName kSohar1("sohar-1");
const HostName kSohar2("sohar-2");
constexpr milliseconds kTimeout{20'000};

class ControlNodeTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                       kTimeout));
    // Wait until views and live hosts are agreed.
    this->cluster.Run(milliseconds(5'000));
  }

  //! Publishes a set at `host` and returns its version once applied.
  SetVersion PublishAt(const HostName& host,
                       const std::string& id,
                       SetVersion base,
                       TokenCount rate) {
    const auto number =
        this->cluster.Publish(host, id, base, SmallSet("muscat", rate));
    EXPECT_TRUE(this->cluster.RunUntil(
        [&] { return this->cluster.Outcome(host, number).has_value(); },
        kTimeout));
    const auto outcome = this->cluster.Outcome(host, number);
    EXPECT_EQ(outcome->kind, ApplyKind::kApplied);
    return outcome->version;
  }

  bool AllHostsHave(SetVersion version) {
    for (const HostName& host : this->cluster.Names()) {
      if (this->cluster.IsUp(host) &&
          this->cluster.Node(host).State().Version() < version) {
        return false;
      }
    }
    return true;
  }

  std::optional<PermitVerdict> RequestPermitAndWait(
      const HostName& host,
      const std::string& operation) {
    const auto number =
        this->cluster.RequestPermitAt(host, "muscat", operation);
    this->cluster.RunUntil(
        [&] { return this->cluster.Verdict(host, number).has_value(); },
        milliseconds(9'000));
    return this->cluster.Verdict(host, number);
  }

  ControlCluster cluster{kRegions, 2, milliseconds(80)};
};

TEST_F(ControlNodeTest, ChangeReachesAllHostsWithinOneSecond) {
  const auto number =
      this->cluster.Publish(kSohar2, "a", 0, SmallSet("muscat", 100));
  const auto took = this->cluster.RunUntil(
      [&] {
        const auto outcome = this->cluster.Outcome(kSohar2, number);
        return outcome && this->AllHostsHave(outcome->version);
      },
      milliseconds(1'000));
  EXPECT_TRUE(took.has_value());
}

TEST_F(ControlNodeTest, PublishSucceedsAfterLeaderCrash) {
  const HostName leader = this->cluster.Leader();
  this->cluster.Crash(leader);
  const HostName other = leader == kSohar1 ? kMuscat2 : kSohar2;
  const auto number =
      this->cluster.Publish(other, "a", 0, SmallSet("muscat", 100));
  EXPECT_TRUE(this->cluster.RunUntil(
      [&] { return this->cluster.Outcome(other, number).has_value(); },
      milliseconds(9'000)));
}

TEST_F(ControlNodeTest, WithdrawalInPartitionedRegionAppliesThereAtOnce) {
  this->PublishAt(kMuscat1, "a", 0, 100);
  this->cluster.Run(milliseconds(1'000));
  this->cluster.Partition(this->cluster.HostsOf("salalah"));
  this->cluster.Withdraw(HostName("salalah-2"), "key");
  this->cluster.Run(milliseconds(500));
  for (const HostName& host : this->cluster.HostsOf("salalah")) {
    EXPECT_TRUE(
        this->cluster.SnapshotOf(host)->withdrawn->contains(KeyDigest("key")));
  }
  EXPECT_FALSE(this->cluster.SnapshotOf(kMuscat2)->withdrawn->contains(
      KeyDigest("key")));
  this->cluster.Heal();
  EXPECT_TRUE(this->cluster.RunUntil(
      [&] {
        return this->cluster.Node(kMuscat2).State().Withdrawn()->contains(
            KeyDigest("key"));
      },
      kTimeout));
}

TEST_F(ControlNodeTest, PartitionedRegionStaysReadyButLosesKeyFreshness) {
  this->PublishAt(kMuscat1, "a", 0, 100);
  this->cluster.Run(milliseconds(1'000));
  this->cluster.Partition(this->cluster.HostsOf("salalah"));
  this->cluster.Run(milliseconds(8'000));
  const auto snapshot = this->cluster.SnapshotOf(HostName("salalah-2"));
  EXPECT_TRUE(snapshot->ready);
  EXPECT_LT(snapshot->keys_fresh_until, this->cluster.Now());
  const auto elsewhere = this->cluster.SnapshotOf(kMuscat2);
  EXPECT_GT(elsewhere->keys_fresh_until, this->cluster.Now());
}

TEST_F(ControlNodeTest, RestartInPartitionedRegionKeepsNewestVersion) {
  const SetVersion version = this->PublishAt(kMuscat1, "a", 0, 100);
  this->cluster.Run(milliseconds(1'000));
  this->cluster.Partition(this->cluster.HostsOf("salalah"));
  const HostName host("salalah-2");
  this->cluster.Crash(host);
  this->cluster.Restart(host);
  EXPECT_TRUE(this->cluster.RunUntil(
      [&] { return this->cluster.Node(host).IsReady(); }, kTimeout));
  EXPECT_EQ(this->cluster.Node(host).State().Version(), version);
}

TEST_F(ControlNodeTest, RestartedVoterRecoversFromDisk) {
  const SetVersion version = this->PublishAt(kMuscat1, "a", 0, 100);
  this->cluster.Run(milliseconds(1'000));
  this->cluster.Crash(kSohar1);
  this->cluster.Restart(kSohar1);
  this->cluster.Run(milliseconds(20));
  EXPECT_EQ(this->cluster.Node(kSohar1).State().Version(), version);
}

TEST_F(ControlNodeTest, OperationIsGrantedOnceAcrossRegions) {
  EXPECT_EQ(this->RequestPermitAndWait(kSohar2, "bk"), PermitVerdict::kGranted);
  EXPECT_EQ(this->RequestPermitAndWait(kMuscat2, "bk"),
            PermitVerdict::kInProgress);
}

TEST_F(ControlNodeTest, OperationsAreGrantedAfterHomeRegionLosesHost) {
  this->cluster.Crash(kMuscat2);
  EXPECT_EQ(this->RequestPermitAndWait(kMuscat1, "bk"),
            PermitVerdict::kGranted);
}

TEST_F(ControlNodeTest, PartitionedHomeRegionStillGrantsOperations) {
  this->cluster.Partition(this->cluster.HostsOf("muscat"));
  this->cluster.Run(milliseconds(10'000));
  EXPECT_EQ(this->RequestPermitAndWait(kMuscat2, "bk"),
            PermitVerdict::kGranted);
  EXPECT_NE(this->RequestPermitAndWait(kSohar2, "bk"), PermitVerdict::kGranted);
}

TEST_F(ControlNodeTest, GrantOfTimedOutRequestIsReleased) {
  const auto timed_out = this->cluster.RequestPermitAt(kSohar2, "muscat", "bk");
  this->cluster.Run(milliseconds(90));
  this->cluster.Partition({kSohar2});
  this->cluster.Run(milliseconds(11'000));
  EXPECT_EQ(this->cluster.Verdict(kSohar2, timed_out),
            PermitVerdict::kUnavailable);
  this->cluster.Heal();
  this->cluster.Run(milliseconds(3'000));
  EXPECT_EQ(this->RequestPermitAndWait(kMuscat2, "bk"),
            PermitVerdict::kGranted);
}

TEST_F(ControlNodeTest, FailedVoterIsReplacedBySpareWithDisk) {
  ControlCluster four({"muscat", "sohar", "salalah", "duqm"}, 1);
  four.Run(milliseconds(8'000));
  const HostName failed = four.Leader() == kMuscat1 ? kSohar1 : kMuscat1;
  four.Crash(failed);
  EXPECT_TRUE(four.RunUntil(
      [&] {
        const std::set<HostName>& voters = four.Node(four.Leader()).Voters();
        return !voters.contains(failed) && voters.size() == 3 &&
               voters.contains(HostName("duqm-1"));
      },
      milliseconds(40'000)));
}

TEST_F(ControlNodeTest, GrantedTokensStayWithinShareWhenAllocatorMoves) {
  this->PublishAt(kMuscat1, "a", 0, 100);
  this->cluster.Run(milliseconds(1'000));
  const TimePoint start = this->cluster.Now();
  const TokenCount before = this->cluster.Tokens();
  const auto request_tokens_for = [&](milliseconds time) {
    const TimePoint until = this->cluster.Now() + time;
    while (this->cluster.Now() < until) {
      for (const HostName& host : this->cluster.HostsOf("muscat")) {
        if (this->cluster.IsUp(host)) {
          this->cluster.RequestTokens(host, 20);
        }
      }
      this->cluster.Run(milliseconds(50));
    }
  };
  request_tokens_for(milliseconds(3'000));
  this->cluster.Partition({kMuscat1});
  request_tokens_for(milliseconds(20'000));
  this->cluster.Heal();
  request_tokens_for(milliseconds(5'000));
  const double seconds =
      std::chrono::duration<double>(this->cluster.Now() - start).count();
  EXPECT_LE(static_cast<double>(this->cluster.Tokens() - before),
            1'000 + 100 * seconds);
  EXPECT_GT(this->cluster.Tokens() - before, 1'000);
}

TEST_F(ControlNodeTest, IsolatedLeaderLosesFreshnessAndRejoinsWithoutElection) {
  this->PublishAt(kMuscat1, "a", 0, 100);
  const HostName leader = this->cluster.Leader();
  this->cluster.Partition({leader});
  this->cluster.Run(milliseconds(60'000));
  EXPECT_LT(this->cluster.SnapshotOf(leader)->keys_fresh_until,
            this->cluster.Now());
  EXPECT_FALSE(this->cluster.Node(leader).IsLeader());
  const HostName next = this->cluster.Leader();
  const Term term = this->cluster.Node(next).CurrentTerm();
  this->cluster.Heal();
  this->cluster.Run(milliseconds(5'000));
  EXPECT_EQ(this->cluster.Leader(), next);
  EXPECT_EQ(this->cluster.Node(next).CurrentTerm(), term);
}

//! An entry host that starts and knows only three seeds.
class StartingHostTest : public testing::Test {
 protected:
  static constexpr milliseconds kTick{50};

  static ControlOptions Options() {
    ControlOptions options;
    options.self.name = HostName("front");
    options.self.caller_port = 80;
    options.self.incarnation = 5'000;
    for (const char* seed : {"a", "b", "c"}) {
      state::HostRecord record;
      record.name = HostName(seed);
      record.has_disk = true;
      options.seeds.push_back(record);
    }
    return options;
  }

  //! Runs the node for a tick. Returns the feed requests that it sends, with
  //! their recipients.
  std::vector<std::pair<HostName, FeedRequest>> Tick() {
    this->clock.Advance(kTick);
    std::vector<std::pair<HostName, FeedRequest>> requests;
    for (const PeerSend& send : this->node.Tick(this->clock.Now()).sends) {
      const auto* request = std::get_if<FeedRequest>(&send.message);
      if (request != nullptr) {
        requests.emplace_back(send.to, *request);
      }
    }
    return requests;
  }

  //! A source without a reply is considered silent after four reports.
  const milliseconds silence = 4 * Options().report;
  ManualClock clock;
  SeededRandom random{1};
  ControlNode node{Options(), {}, random, clock.Now()};
};

//! Guards against a late reply to an earlier process of the host, whose numbers
//! all are below the next incarnation.
TEST_F(StartingHostTest, NumbersItsRequestsFromItsIncarnationOn) {
  const auto requests = this->Tick();
  ASSERT_FALSE(requests.empty());
  EXPECT_GT(requests.front().second.number, Options().self.incarnation);
  ControlEffects effects;
  EXPECT_GT(
      this->node.Propose(state::WithdrawKeys{}, this->clock.Now(), effects),
      Options().self.incarnation);
}

//! Guards against hosts that start together and ask all their sources for the
//! state again before any can have replied, until the sources handle nothing
//! else.
TEST_F(StartingHostTest, WaitsForTheStateThatItHasAskedFor) {
  constexpr milliseconds kTime{6'000};
  int requests = 0;
  for (milliseconds time{0}; time < kTime; time += kTick) {
    for (const auto& [to, request] : this->Tick()) {
      requests += request.next == FeedRequest::kNoEntries ? 0 : 1;
    }
  }
  EXPECT_GT(requests, 0);
  EXPECT_LE(requests, kTime / this->silence + 1);
}

//! Guards against hosts that wait long because one of their seeds is down.
TEST_F(StartingHostTest, AsksASourceThatIsAheadIfTheFirstDoesNotReply) {
  HostName first;
  HostName asked;
  for (milliseconds time{0}; time < 2 * this->silence; time += kTick) {
    for (const auto& [to, request] : this->Tick()) {
      if (request.next != FeedRequest::kNoEntries) {
        (first.IsEmpty() ? first : asked) = to;
        continue;
      }
      if (to != first) {
        FeedReply reply;
        reply.number = request.number;
        reply.commit = 5;
        this->node.Receive(to, reply, this->clock.Now());
      }
    }
  }
  ASSERT_FALSE(first.IsEmpty());
  ASSERT_FALSE(asked.IsEmpty());
  EXPECT_NE(asked, first);
}

RC_GTEST_PROP(ControlNode, NoHostRevertsAndAllConvergeAfterHealing, ()) {
  ControlCluster cluster(kRegions, 2, milliseconds(*rc::gen::inRange(0, 80)));
  cluster.Run(milliseconds(8'000));
  const std::vector<HostName> names = cluster.Names();
  TokenCount rate = 1;
  for (int i = 0; i < 40; ++i) {
    const HostName& host = names[static_cast<std::size_t>(
        *rc::gen::inRange(0, static_cast<int>(names.size())))];
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        cluster.Crash(host);
        break;
      case 1:
      case 2:
        cluster.Restart(host);
        break;
      case 3:
        cluster.Partition({host});
        break;
      case 4:
        cluster.Partition(cluster.HostsOf(
            kRegions[static_cast<std::size_t>(*rc::gen::inRange(0, 3))]));
        break;
      case 5:
        cluster.Heal();
        break;
      default:
        if (cluster.IsUp(host)) {
          cluster.Publish(host, std::to_string(i),
                          cluster.Node(host).State().Version(),
                          SmallSet("muscat", rate++));
        }
        break;
    }
    cluster.Run(milliseconds(*rc::gen::inRange(10, 1'500)));
  }
  cluster.Heal();
  for (const HostName& host : names) {
    cluster.Restart(host);
  }
  cluster.Run(milliseconds(25'000));
  RC_ASSERT(cluster.Violations().empty());
  const auto& set = *cluster.Node(kMuscat1).State().Set();
  for (const HostName& host : names) {
    RC_ASSERT(cluster.Node(host).IsReady());
    RC_ASSERT(*cluster.Node(host).State().Set() == set);
  }
}

}  // namespace
}  // namespace tamarackwing::control
