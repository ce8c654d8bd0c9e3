//! Disks of control hosts that take no writes for some time.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "control_cluster.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

//! Nine hosts with disks in three regions, of which five are voters, and an
//! entry host in each region.
class StalledDiskTest : public testing::Test {
 protected:
  static constexpr milliseconds kDelay{80};
  static constexpr milliseconds kStall{10'000};
  static constexpr milliseconds kLook{50};
  //! Within this time a change is acknowledged.
  static constexpr milliseconds kAcknowledged{4'000};
  //! A host whose leader contact is older refuses reads.
  static constexpr milliseconds kReadable{1'500};

  static std::vector<state::HostRecord> Hosts() {
    return HostsOf({"muscat", "salalah", "sohar"}, 3, 1);
  }

  void SetUp() override {
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                       milliseconds(30'000)));
    this->cluster.Run(milliseconds(5'000));
    this->leader = this->cluster.Leader();
    ASSERT_FALSE(this->leader.IsEmpty());
    const std::set<HostName>& voters =
        this->cluster.Node(this->leader).Voters();
    ASSERT_EQ(voters.size(), 5U);
    this->follower = *std::find_if(
        voters.begin(), voters.end(),
        [&](const HostName& voter) { return voter != this->leader; });
    this->cluster.CheckLeaderContacts();
  }

  //! Makes a change through an entry host of another region than the leader's.
  //! Returns whether it was acknowledged in time.
  bool ChangeElsewhere(const state::ControlChange& change) {
    HostName host("muscat-103");
    if (this->cluster.HostsOf("muscat").contains(this->leader)) {
      host = HostName("salalah-103");
    }
    const std::uint64_t number = this->cluster.Change(host, change);
    return this->cluster
        .RunUntil(
            [&] { return this->cluster.Outcome(host, number).has_value(); },
            kAcknowledged)
        .has_value();
  }

  //! Runs through a stall, with a change each second. Returns the longest time
  //! for which another host had no leader contact.
  Duration RunWithChanges(const HostName& stalled) {
    Duration oldest{0};
    std::uint64_t number = 10;
    this->cluster.StallDisk(stalled);
    const TimePoint end = this->cluster.Now() + kStall;
    TimePoint change_at = this->cluster.Now();
    while (this->cluster.Now() < end) {
      if (this->cluster.Now() >= change_at) {
        change_at += milliseconds(1'000);
        this->cluster.Change(HostName("sohar-103"), NumberedSet(number++));
      }
      this->cluster.Run(kLook);
      for (const HostName& host : this->cluster.Names()) {
        if (host != stalled) {
          oldest = std::max(oldest,
                            this->cluster.Now() -
                                this->cluster.SnapshotOf(host)->leader_contact);
        }
      }
    }
    this->cluster.ResumeDisk(stalled);
    return oldest;
  }

  ControlCluster cluster{
      Hosts(),
      {HostName("muscat-100"), HostName("salalah-100"), HostName("sohar-100")},
      kDelay,
      5};
  HostName leader;
  HostName follower;
};

// Guards against a leader that answers reads with a set which was replaced.
TEST_F(StalledDiskTest, LeaderClaimsNoContactNewerThanItsSet) {
  this->cluster.StallDisk(this->leader);
  ASSERT_TRUE(this->ChangeElsewhere(NumberedSet(1)));
  this->cluster.Run(kStall);
  EXPECT_EQ(this->cluster.Violations(), std::vector<std::string>());
}

// Guards against a fleet that refuses its callers because the leader cannot
// write.
TEST_F(StalledDiskTest, OthersKeepLeaderContactWhileTheLeadersDiskStalls) {
  const Duration oldest = this->RunWithChanges(this->leader);
  EXPECT_LE(oldest, ControlOptions().key_freshness);
  EXPECT_NE(this->cluster.Leader(), this->leader);
  EXPECT_EQ(this->cluster.Violations(), std::vector<std::string>());
}

TEST_F(StalledDiskTest, AnotherVotersDiskChangesNoLeader) {
  const Duration oldest = this->RunWithChanges(this->follower);
  EXPECT_LE(oldest, kReadable);
  EXPECT_EQ(this->cluster.Leader(), this->leader);
  EXPECT_EQ(this->cluster.Violations(), std::vector<std::string>());
}

//! One host with a disk in each region, which the two entry hosts there follow.
class LoneControlHostTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                       milliseconds(30'000)));
    this->cluster.Run(milliseconds(5'000));
    ASSERT_FALSE(this->cluster.Leader().IsEmpty());
  }

  //! Stalls the leader's disk, makes a change in another region, and returns
  //! the hosts that claim a leader contact since its acknowledgement and do not
  //! know the change.
  template <typename Knows>
  std::set<std::string> FindUnaware(const state::ControlChange& change,
                                    Knows knows) {
    const HostName leader = this->cluster.Leader();
    const HostName elsewhere =
        HostName(leader == HostName("sohar-100") ? "muscat-101" : "sohar-101");
    this->cluster.StallDisk(leader);
    const std::uint64_t number = this->cluster.Change(elsewhere, change);
    const auto acknowledged = this->cluster.RunUntil(
        [&] { return this->cluster.Outcome(elsewhere, number).has_value(); },
        milliseconds(4'000));
    EXPECT_TRUE(acknowledged);
    const TimePoint at = this->cluster.Now();
    std::set<std::string> unaware;
    while (this->cluster.Now() - at < milliseconds(10'000)) {
      this->cluster.Run(milliseconds(50));
      for (const HostName& host : this->cluster.Names()) {
        const auto snapshot = this->cluster.SnapshotOf(host);
        if (snapshot->leader_contact > at && !knows(*snapshot)) {
          unaware.insert(host.Text());
        }
      }
    }
    return unaware;
  }

  ControlCluster cluster{
      HostsOf({"muscat", "salalah", "sohar"}, 1, 2),
      {HostName("muscat-100"), HostName("salalah-100"), HostName("sohar-100")},
      milliseconds(80),
      3};
};

// Guards against callers with withdrawn keys that the followers of such a
// leader serve.
TEST_F(LoneControlHostTest, FollowersOfALeaderWithAStalledDiskKnowWithdrawals) {
  const KeyDigest key("key");
  EXPECT_EQ(this->FindUnaware(state::WithdrawKeys{{key}},
                              [&](const state::Snapshot& snapshot) {
                                return snapshot.withdrawn->contains(key);
                              }),
            std::set<std::string>());
}

// Guards against requests that they send into a data centre which was closed.
TEST_F(LoneControlHostTest, FollowersOfALeaderWithAStalledDiskKnowCloses) {
  state::CloseDataCentre close;
  close.data_centre = DataCentreName("muscat-a");
  close.closed = true;
  EXPECT_EQ(this->FindUnaware(close,
                              [&](const state::Snapshot& snapshot) {
                                return snapshot.closed_data_centres.contains(
                                    close.data_centre);
                              }),
            std::set<std::string>());
}

//! A voter that has an entry of the former leader, which it does not know to be
//! committed.
class NewLeaderTest : public testing::Test {
 protected:
  static constexpr std::uint64_t kSet = 5;

  static ControlOptions Options() {
    ControlOptions options;
    options.self.name = HostName("a");
    options.self.has_disk = true;
    options.self.incarnation = 5'000;
    for (const char* name : {"a", "b", "c"}) {
      state::HostRecord host;
      host.name = HostName(name);
      host.has_disk = true;
      options.seeds.push_back(host);
      options.initial_voters.insert(host.name);
    }
    return options;
  }

  static RecoveredControl Recovered() {
    RecoveredControl recovered;
    recovered.log.vote.term = 1;
    state::LogEntry voters;
    voters.index = 1;
    voters.term = 1;
    voters.kind = state::EntryKind::kVoters;
    voters.voters = Options().initial_voters;
    state::LogEntry set;
    set.index = 2;
    set.term = 1;
    set.kind = state::EntryKind::kChange;
    set.payload = state::EncodeChange(NumberedSet(kSet));
    recovered.log.entries = {voters, set};
    recovered.log.commit = 1;
    return recovered;
  }

  //! Writes what there is to write, and keeps the log messages to `b`.
  void Apply(const ControlEffects& effects) {
    for (const PeerSend& send : effects.sends) {
      const auto* message = std::get_if<state::LogMessage>(&send.message);
      if (message != nullptr && send.to == HostName("b")) {
        this->to_b.push_back(*message);
      }
    }
    for (const state::LogBatch& batch : effects.log_batches) {
      this->Apply(this->node.LogPersisted(batch.ticket, this->clock.Now()));
    }
  }

  void ReceiveFromB(const state::LogMessage& message) {
    this->Apply(this->node.Receive(HostName("b"), message, this->clock.Now()));
  }

  //! Runs until the node leads, by the votes of `b`.
  void Elect() {
    for (int i = 0; i < 100 && !this->node.IsLeader(); ++i) {
      this->clock.Advance(milliseconds(50));
      this->Apply(this->node.Tick(this->clock.Now()));
      for (const state::LogMessage& message : std::exchange(this->to_b, {})) {
        const auto* request = std::get_if<state::VoteRequest>(&message);
        if (request != nullptr) {
          this->ReceiveFromB(
              state::VoteReply{request->term, true, request->is_pre_vote});
        }
      }
    }
    ASSERT_TRUE(this->node.IsLeader());
  }

  TimePoint Contact() const {
    return this->node.MakeSnapshot(this->clock.Now())->leader_contact;
  }

  ManualClock clock;
  SeededRandom random{1};
  ControlNode node{Options(), Recovered(), random, clock.Now()};
  std::vector<state::LogMessage> to_b;
};

// Guards against reads of an old set from a new leader, which the entries that
// the former one committed are still on their way to.
TEST_F(NewLeaderTest, ClaimsNoContactBeforeItsTermHasACommittedEntry) {
  this->Elect();
  const Term term = this->node.CurrentTerm();
  this->ReceiveFromB(state::AppendReply{term, false, 1, 1});
  EXPECT_TRUE(this->node.QuorumAge(this->clock.Now()));
  EXPECT_EQ(this->Contact(), TimePoint());
  this->ReceiveFromB(state::AppendReply{term, true, 3, 2});
  EXPECT_EQ(this->node.State().SetNumber(), kSet);
  EXPECT_EQ(this->Contact(), this->clock.Now());
}

//! Returns how many random histories are played; TAMARACKWING_HISTORIES plays
//! more than CI.
std::uint64_t Histories() {
  constexpr std::uint64_t kInCi = 20;
  const char* more = std::getenv("TAMARACKWING_HISTORIES");
  return more == nullptr ? kInCi : std::strtoull(more, nullptr, 10);
}

//! One random history of stalls, crashes and cuts, while changes are made.
class StalledDiskHistory : public testing::TestWithParam<std::uint64_t> {};

TEST_P(StalledDiskHistory, ContactIsWorthWhatTheStateHolds) {
  SeededRandom random(GetParam());
  const std::vector<state::HostRecord> hosts =
      HostsOf({"muscat", "salalah", "sohar"}, 2, 1);
  ControlCluster cluster(
      hosts,
      {HostName("muscat-100"), HostName("salalah-100"), HostName("sohar-100")},
      milliseconds(random.Below(81)), 5);
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllReady(); },
                               milliseconds(30'000)));
  cluster.Run(milliseconds(5'000));
  cluster.CheckLeaderContacts();
  const std::vector<HostName> names = cluster.Names();
  std::uint64_t number = 1;
  for (int i = 0; i < 40; ++i) {
    const HostName& host = names[random.Below(names.size())];
    const HostName leader = cluster.Leader();
    switch (random.Below(9)) {
      case 0:
        cluster.Crash(host);
        break;
      case 1:
        cluster.Restart(host);
        break;
      case 2:
        cluster.Partition({host});
        break;
      case 3:
        cluster.Heal();
        break;
      case 4:
        cluster.StallDisk(leader.IsEmpty() ? host : leader);
        break;
      case 5:
        cluster.StallDisk(host);
        break;
      case 6:
        cluster.ResumeDisk(host);
        break;
      default:
        if (cluster.IsUp(host)) {
          cluster.Change(host, NumberedSet(number++));
        }
        break;
    }
    cluster.Run(milliseconds(random.Below(1'500)));
  }
  cluster.Heal();
  for (const HostName& host : names) {
    cluster.ResumeDisk(host);
    cluster.Restart(host);
  }
  cluster.Run(milliseconds(25'000));
  EXPECT_EQ(cluster.Violations(), std::vector<std::string>());
  const std::uint64_t last = cluster.Change(names.front(), NumberedSet(number));
  cluster.Run(milliseconds(5'000));
  EXPECT_TRUE(cluster.Outcome(names.front(), last).has_value());
  for (const HostName& host : names) {
    EXPECT_EQ(cluster.Node(host).State().SetNumber(), number) << host.Text();
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         StalledDiskHistory,
                         testing::Range<std::uint64_t>(1, Histories() + 1));

}  // namespace
}  // namespace tamarackwing::control
