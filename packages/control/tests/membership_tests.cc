#include <gtest/gtest.h>

#include <algorithm>

#include "control_cluster.h"
#include "tamarackwing/control/membership_plan.h"
#include "tamarackwing/control/roster_follower.h"

namespace tamarackwing::control {
namespace {

class PlanVotersTest : public testing::Test {
 protected:
  void Add(const std::string& name, const std::string& region, bool disk) {
    state::HostRecord host;
    host.name = HostName(name);
    host.region = RegionName(region);
    host.data_centre = DataCentreName(region + "-a");
    host.has_disk = disk;
    this->index += 1;
    this->state.Apply(this->index, state::EncodeChange(state::PutHost{host}));
    HostStatus status;
    status.record = host;
    this->monitor.NoteStatus(status, this->clock.Now());
  }

  VoterPlan Plan(std::set<HostName> voters,
                 std::vector<LostVoter> lost,
                 std::size_t target) {
    return PlanVoters({std::move(voters), std::move(lost), {}, target},
                      this->state, this->monitor, this->clock.Now());
  }

  ManualClock clock;
  state::ControlState state;
  HostMonitor monitor{std::chrono::seconds(3)};
  LogIndex index = 0;
};

TEST_F(PlanVotersTest, AddsHostWithDiskInRegionWithFewestVoters) {
  this->Add("m1", "muscat", true);
  this->Add("m2", "muscat", true);
  this->Add("s1", "sohar", true);
  this->Add("front", "salalah", false);
  const VoterPlan plan = this->Plan({HostName("m1")}, {}, 3);
  EXPECT_EQ(plan.add, HostName("s1"));
}

TEST_F(PlanVotersTest, AddsNoVoterBeyondTarget) {
  this->Add("m1", "muscat", true);
  this->Add("s1", "sohar", true);
  EXPECT_TRUE(this->Plan({HostName("m1")}, {}, 1).add.IsEmpty());
}

TEST_F(PlanVotersTest, ReplacesSilentVoterBeforeRemovingIt) {
  this->Add("m1", "muscat", true);
  this->Add("m2", "muscat", true);
  this->Add("s1", "sohar", true);
  const std::set<HostName> voters{HostName("m1"), HostName("lost")};
  const VoterPlan first = this->Plan(voters, {{HostName("lost"), {}}}, 2);
  EXPECT_FALSE(first.add.IsEmpty());
  EXPECT_TRUE(first.remove.IsEmpty());
  std::set<HostName> grown = voters;
  grown.insert(first.add);
  EXPECT_EQ(this->Plan(grown, {{HostName("lost"), {}}}, 2).remove,
            HostName("lost"));
}

TEST_F(PlanVotersTest, KeepsSilentVoterWithoutReplacement) {
  this->Add("m1", "muscat", true);
  const VoterPlan plan = this->Plan({HostName("m1"), HostName("lost")},
                                    {{HostName("lost"), {}}}, 2);
  EXPECT_TRUE(plan.add.IsEmpty());
  EXPECT_TRUE(plan.remove.IsEmpty());
}

// Guards against the removal of a voter that was only cut off, in place of the
// one for which the new voter was added.
TEST_F(PlanVotersTest, VoterWithoutReplacementIsNotRemoved) {
  for (const char* name : {"cut", "lost", "m1", "new"}) {
    this->Add(name, "muscat", true);
  }
  const std::vector<LostVoter> lost{
      {HostName("cut"), {HostName("m1"), HostName("lost"), HostName("new")}},
      {HostName("lost"), {HostName("m1"), HostName("cut")}}};
  const std::set<HostName> voters{HostName("cut"), HostName("lost"),
                                  HostName("m1")};
  EXPECT_EQ(this->Plan(voters, lost, 3).add, HostName("new"));
  std::set<HostName> grown = voters;
  grown.insert(HostName("new"));
  EXPECT_EQ(this->Plan(grown, lost, 3).remove, HostName("lost"));
}

TEST(PlanSourcesTest, HostThatKnowsOnlySeedsFollowsThem) {
  SourceInput input;
  input.self.name = HostName("front");
  input.self.region = RegionName("muscat");
  for (const char* seed : {"a", "b", "c"}) {
    state::HostRecord host;
    host.name = HostName(seed);
    host.has_disk = true;
    input.hosts.push_back(host);
  }
  EXPECT_EQ(PlanSources(input).size(), 3U);
}

state::HostRecord HostAt(const std::string& name, bool disk) {
  state::HostRecord host;
  host.name = HostName(name);
  host.region = RegionName("muscat");
  host.has_disk = disk;
  return host;
}

TEST(PlanSourcesTest, NoTwoHostsFollowEachOther) {
  // The hosts with disks of this region are not voters yet; the voters are in
  // remote regions.
  const std::vector<state::HostRecord> hosts{
      HostAt("4", false), HostAt("5", false), HostAt("7", true),
      HostAt("8", true)};
  std::map<HostName, HostName> follows;
  for (const state::HostRecord& self : hosts) {
    SourceInput input;
    input.self = self;
    input.ready = true;
    input.hosts = hosts;
    // Hosts without disks keep no log and know no voters.
    if (self.has_disk) {
      input.voters = {HostName("far-1"), HostName("far-2")};
    }
    follows[self.name] = PlanSources(input).front();
  }
  for (const auto& [host, source] : follows) {
    HostName next = source;
    for (std::size_t step = 0; step < hosts.size(); ++step) {
      ASSERT_NE(next, host);
      const auto found = follows.find(next);
      if (found == follows.end()) {
        break;
      }
      next = found->second;
    }
  }
}

// Guards against hosts that all turn to the same host once their source is
// gone.
TEST(PlanSourcesTest, NoHostWithoutDiskIsTheSourceOfMany) {
  constexpr int kHosts = 97;
  constexpr int kMostFollowers = 4;
  std::vector<state::HostRecord> hosts{HostAt("1", true), HostAt("2", true),
                                       HostAt("3", true)};
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(HostAt(std::to_string(100 + i), false));
  }
  std::map<HostName, int> first;
  std::map<HostName, int> first_without_disk;
  for (const state::HostRecord& self : hosts) {
    if (self.has_disk) {
      continue;
    }
    SourceInput input;
    input.self = self;
    input.ready = true;
    input.hosts = hosts;
    const std::vector<HostName> sources = PlanSources(input);
    first[sources.front()] += 1;
    if (sources.size() > 3) {
      first_without_disk[sources[3]] += 1;
      EXPECT_LT(sources[3], self.name);
    }
  }
  for (const char* control : {"1", "2", "3"}) {
    EXPECT_LE(first[HostName(control)], kHosts / 2);
  }
  for (const auto& [source, followers] : first_without_disk) {
    EXPECT_LE(followers, kMostFollowers) << source.Text();
  }
}

// Guards against hosts that are without the newest set for long after a loss of
// power, because they ask one host after another that is gone for good.
TEST(PlanSourcesTest, LostHostsComeLastForHostThatStarts) {
  SourceInput input;
  input.self = HostAt("9", false);
  for (const char* name : {"1", "2", "3", "4"}) {
    input.hosts.push_back(HostAt(name, true));
  }
  input.lost = {HostName("1"), HostName("2"), HostName("4")};
  const std::vector<HostName> sources = PlanSources(input);
  EXPECT_EQ(sources.size(), 4U);
  EXPECT_EQ(sources.front(), HostName("3"));
  const std::vector<HostName> rosters = RosterSources(
      input.self,
      {{HostName("1"), HostAt("1", true)}, {HostName("3"), HostAt("3", true)}},
      {}, input.lost);
  EXPECT_EQ(rosters, (std::vector<HostName>{HostName("3"), HostName("1")}));
}

// Guards against hundreds of hosts that start together and all fetch the state
// from the leader, which then cannot keep its lease.
TEST(PlanSourcesTest, StartingHostsDoNotAllAskTheLeader) {
  constexpr int kHosts = 100;
  const HostName leader("a");
  int ask_leader = 0;
  for (int i = 0; i < kHosts; ++i) {
    SourceInput input;
    input.self = HostAt(std::to_string(100 + i), false);
    input.leader = leader;
    for (const char* seed : {"a", "b", "c"}) {
      state::HostRecord host;
      host.name = HostName(seed);
      host.has_disk = true;
      input.hosts.push_back(host);
    }
    ask_leader += PlanSources(input).front() == leader ? 1 : 0;
  }
  EXPECT_LE(ask_leader, kHosts / 2);
}

// Guards against a leader that has no time left for heartbeats, because it is
// the source of a third of its region's hosts.
TEST(PlanSourcesTest, EntryHostsFollowTheLeaderLast) {
  constexpr int kHosts = 100;
  const HostName leader("2");
  std::vector<state::HostRecord> hosts{HostAt("1", true), HostAt("2", true),
                                       HostAt("3", true)};
  std::map<HostName, int> first;
  for (int i = 0; i < kHosts; ++i) {
    SourceInput input;
    input.self = HostAt(std::to_string(100 + i), false);
    input.ready = true;
    input.leader = leader;
    input.hosts = hosts;
    const std::vector<HostName> sources = PlanSources(input);
    first[sources.front()] += 1;
    EXPECT_EQ(sources.at(2), leader);
  }
  EXPECT_GT(first[HostName("1")], kHosts / 4);
  EXPECT_GT(first[HostName("3")], kHosts / 4);
}

//! Five hosts with disks, of which three are seeds, and three without, in three
//! regions.
class BootstrapTest : public testing::Test {
 protected:
  static std::vector<state::HostRecord> Hosts() {
    std::vector<state::HostRecord> hosts;
    const auto add = [&](const char* name, const char* region, bool disk) {
      state::HostRecord host;
      host.name = HostName(name);
      host.region = RegionName(region);
      host.data_centre = DataCentreName(std::string(region) + "-a");
      host.has_disk = disk;
      host.caller_port = disk ? 0 : 80;
      hosts.push_back(host);
    };
    add("m1", "muscat", true);
    add("m2", "muscat", true);
    add("s1", "sohar", true);
    add("s2", "sohar", true);
    add("l1", "salalah", true);
    add("m9", "muscat", false);
    add("s9", "sohar", false);
    add("l9", "salalah", false);
    return hosts;
  }

  void SetUp() override {
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                       kTimeout));
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->VoterCount() == 5; },
                                       kTimeout));
  }

  std::size_t VoterCount() {
    const HostName leader = this->cluster.Leader();
    return leader.IsEmpty() ? 0 : this->cluster.Node(leader).Voters().size();
  }

  //! Replaces the set at `host` and returns the outcome.
  std::optional<state::ApplyOutcome> Replace(const HostName& host,
                                             std::uint64_t number) {
    state::ReplaceSet change;
    change.number = number;
    change.document = "document " + std::to_string(number);
    const std::uint64_t id = this->cluster.Change(host, change);
    this->cluster.RunUntil(
        [&] { return this->cluster.Outcome(host, id).has_value(); }, kTimeout);
    return this->cluster.Outcome(host, id);
  }

  bool AllHostsHave(std::uint64_t number) {
    for (const HostName& host : this->cluster.Names()) {
      if (this->cluster.IsUp(host) &&
          this->cluster.Node(host).State().SetNumber() != number) {
        return false;
      }
    }
    return true;
  }

  static constexpr std::chrono::milliseconds kTimeout{30'000};
  ControlCluster cluster{Hosts(),
                         {HostName("m1"), HostName("s1"), HostName("l1")},
                         std::chrono::milliseconds(80)};
};

TEST_F(BootstrapTest, SeedsBootstrapLogAndOtherHostsWithDisksBecomeVoters) {
  EXPECT_EQ(this->VoterCount(), 5U);
  EXPECT_TRUE(this->Replace(HostName("m2"), 7).has_value());
  EXPECT_TRUE(
      this->cluster.RunUntil([&] { return this->AllHostsHave(7); }, kTimeout));
}

TEST_F(BootstrapTest, HighestSetNumberWinsAndOthersChangeNothing) {
  EXPECT_EQ(this->Replace(HostName("m1"), 7)->kind, state::ApplyKind::kApplied);
  EXPECT_EQ(this->Replace(HostName("s2"), 5)->kind,
            state::ApplyKind::kOvertaken);
  EXPECT_EQ(this->Replace(HostName("l1"), 7)->kind,
            state::ApplyKind::kOvertaken);
  EXPECT_EQ(*this->cluster.Node(HostName("m1")).State().Document(),
            "document 7");
}

TEST_F(BootstrapTest, WipedVoterLosesNoAcknowledgedChange) {
  ASSERT_TRUE(this->Replace(HostName("m1"), 7).has_value());
  const HostName leader = this->cluster.Leader();
  this->cluster.Crash(leader);
  this->cluster.Wipe(leader);
  this->cluster.Restart(leader);
  ASSERT_TRUE(
      this->cluster.RunUntil([&] { return this->AllHostsHave(7); }, kTimeout));
  ASSERT_TRUE(this->Replace(leader, 8).has_value());
  EXPECT_TRUE(
      this->cluster.RunUntil([&] { return this->AllHostsHave(8); }, kTimeout));
}

TEST_F(BootstrapTest, AllHostsMayRestartAtOnce) {
  ASSERT_TRUE(this->Replace(HostName("m1"), 7).has_value());
  const std::vector<HostName> names = this->cluster.Names();
  for (const HostName& host : names) {
    this->cluster.Crash(host);
  }
  for (const HostName& host : names) {
    this->cluster.Restart(host);
  }
  ASSERT_TRUE(this->cluster.RunUntil(
      [&] { return this->cluster.AllReady() && this->AllHostsHave(7); },
      kTimeout));
  EXPECT_TRUE(this->Replace(HostName("s2"), 8).has_value());
}

TEST_F(BootstrapTest, LeaderContactReturnsSoonAfterLossOfQuorum) {
  ASSERT_TRUE(this->Replace(HostName("m1"), 7).has_value());
  const std::vector<HostName> majority{HostName("m1"), HostName("s1"),
                                       HostName("l1")};
  for (const int down_ms : {4'000, 5'000, 6'000, 7'000, 8'000}) {
    for (const HostName& host : majority) {
      this->cluster.Crash(host);
    }
    this->cluster.Run(std::chrono::milliseconds(down_ms));
    for (const HostName& host : majority) {
      this->cluster.Restart(host);
    }
    ASSERT_TRUE(this->cluster.RunUntil(
        [&] { return !this->cluster.Leader().IsEmpty(); }, kTimeout));
    const auto all_have_leader_contact = [&] {
      for (const HostName& host : this->cluster.Names()) {
        if (this->cluster.Now() -
                this->cluster.SnapshotOf(host)->leader_contact >
            std::chrono::seconds(1)) {
          return false;
        }
      }
      return true;
    };
    const auto took = this->cluster.RunUntil(all_have_leader_contact, kTimeout);
    ASSERT_TRUE(took.has_value());
    // Covers the first commit of the term and two report intervals towards the
    // leader, with the round trips of their messages.
    EXPECT_LE(took->count(), 2'000) << down_ms;
  }
}

TEST_F(BootstrapTest, ClosedDataCentreStaysClosedAfterRestart) {
  state::CloseDataCentre close;
  close.data_centre = DataCentreName("sohar-a");
  const std::uint64_t id = this->cluster.Change(HostName("m1"), close);
  ASSERT_TRUE(this->cluster.RunUntil(
      [&] { return this->cluster.Outcome(HostName("m1"), id).has_value(); },
      kTimeout));
  for (const HostName& host : this->cluster.Names()) {
    this->cluster.Crash(host);
  }
  for (const state::HostRecord& host : Hosts()) {
    this->cluster.Restart(host.name);
  }
  ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                     kTimeout));
  EXPECT_TRUE(this->cluster.SnapshotOf(HostName("s9"))
                  ->closed_data_centres.contains(close.data_centre));
}

TEST_F(BootstrapTest, DelayedAppendDoesNotRenewLeaderContact) {
  // A host resumes after suspension and reads an append that its leader sent
  // long before.
  const HostName leader = this->cluster.Leader();
  HostName follower("m1");
  if (follower == leader) {
    follower = HostName("s1");
  }
  const TimePoint before = this->cluster.SnapshotOf(follower)->leader_contact;
  const TimePoint woken = this->cluster.Now() + std::chrono::seconds(20);
  state::AppendRequest append;
  append.term = this->cluster.Node(leader).CurrentTerm();
  append.commit = this->cluster.Node(leader).State().Applied();
  append.previous_index = append.commit;
  this->cluster.Node(follower).Receive(leader, state::LogMessage(append),
                                       woken);
  EXPECT_EQ(this->cluster.Node(follower).MakeSnapshot(woken)->leader_contact,
            before);
}

//! A region whose hosts tell each other their status each 3.6 s, which is
//! longer than host_lost.
class LargeRegionTest : public testing::Test {
 protected:
  static constexpr std::size_t kHosts = 99;
  static constexpr std::chrono::milliseconds kTimeout{20'000};

  void SetUp() override {
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                       kTimeout));
    this->cluster.Run(std::chrono::milliseconds(8'000));
  }

  static std::vector<state::HostRecord> Hosts() {
    std::vector<state::HostRecord> hosts;
    for (std::size_t i = 0; i < kHosts; ++i) {
      state::HostRecord host;
      host.name = HostName("muscat-" + std::to_string(100 + i));
      host.region = RegionName("muscat");
      host.has_disk = i < 3;
      host.caller_port = host.has_disk ? 0 : 80;
      hosts.push_back(host);
    }
    return hosts;
  }

  std::size_t LiveAt(const HostName& host) {
    return this->cluster.SnapshotOf(host)->live.size();
  }

  //! Returns the fewest hosts that a host counts as live in the next 10 s.
  std::size_t FewestLiveAt(const HostName& host) {
    std::size_t fewest = kHosts;
    for (int i = 0; i < 200; ++i) {
      this->cluster.Run(std::chrono::milliseconds(50));
      fewest = std::min(fewest, this->LiveAt(host));
    }
    return fewest;
  }

  ControlCluster cluster{
      Hosts(),
      {HostName("muscat-100"), HostName("muscat-101"), HostName("muscat-102")},
      std::chrono::milliseconds(2),
      3};
};

TEST_F(LargeRegionTest, HostsKeepCountingEachOtherAsLive) {
  for (int i = 0; i < 40; ++i) {
    this->cluster.Run(std::chrono::milliseconds(200));
    ASSERT_EQ(this->LiveAt(HostName("muscat-150")), kHosts);
    ASSERT_EQ(this->LiveAt(HostName("muscat-101")), kHosts);
  }
  const HostName lost("muscat-160");
  this->cluster.Crash(lost);
  this->cluster.Run(std::chrono::milliseconds(5'000));
  EXPECT_FALSE(
      this->cluster.SnapshotOf(HostName("muscat-150"))->live.contains(lost));
}

// Guards against a host that has just started and takes the hosts of its region
// for lost, because it has not heard them yet: it then names hosts of other
// regions to callers.
TEST_F(LargeRegionTest, StartedHostCountsItsRegionAsLive) {
  const HostName started("muscat-101");
  this->cluster.Crash(started);
  this->cluster.Run(std::chrono::milliseconds(500));
  this->cluster.Restart(started);
  ASSERT_TRUE(this->cluster.RunUntil(
      [&] { return this->cluster.Node(started).IsReady(); }, kTimeout));
  EXPECT_GE(this->FewestLiveAt(started), kHosts - 1);
}

// As above, for a host that was suspended for longer than a host may be silent.
TEST_F(LargeRegionTest, ResumedHostCountsItsRegionAsLive) {
  const HostName resumed("muscat-150");
  this->cluster.Suspend(resumed);
  this->cluster.Run(std::chrono::milliseconds(9'000));
  this->cluster.Resume(resumed);
  EXPECT_GE(this->FewestLiveAt(resumed), kHosts - 1);
}

TEST(LossesLeft, AreTheVotersThatAreLeftBeyondAMajorityOfAll) {
  EXPECT_EQ(LossesLeft(5, 0), 2U);
  EXPECT_EQ(LossesLeft(5, 1), 1U);
  EXPECT_EQ(LossesLeft(5, 2), 0U);
  EXPECT_EQ(LossesLeft(6, 1), 1U);
  EXPECT_EQ(LossesLeft(0, 0), 0U);
  constexpr std::size_t kMaxVoters = 11;
  for (std::size_t voters = 1; voters <= kMaxVoters; ++voters) {
    for (std::size_t lost = 0; lost <= voters; ++lost) {
      const std::size_t left = voters - lost;
      const std::size_t more = LossesLeft(voters, lost);
      const bool has_majority = 2 * left > voters;
      ASSERT_LE(more, left);
      EXPECT_EQ(2 * (left - more) > voters, has_majority);
      if (has_majority) {
        EXPECT_LE(2 * (left - more - 1), voters);
      } else {
        EXPECT_EQ(more, 0U);
      }
    }
  }
}

}  // namespace
}  // namespace tamarackwing::control
