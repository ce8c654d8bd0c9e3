#include <gtest/gtest.h>

#include "control_cluster.h"
#include "tamarackwing/control/membership_plan.h"

namespace tamarackwing::control {
namespace {

class Membership : public testing::Test {
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
                 std::set<HostName> silent,
                 std::size_t target) {
    return PlanVoters({std::move(voters), std::move(silent), target},
                      this->state, this->monitor, this->clock.Now());
  }

  ManualClock clock;
  state::ControlState state;
  HostMonitor monitor{std::chrono::seconds(3)};
  LogIndex index = 0;
};

TEST_F(Membership, HostsWithDisksAreAdmittedWhereVotersAreFewest) {
  this->Add("m1", "muscat", true);
  this->Add("m2", "muscat", true);
  this->Add("s1", "sohar", true);
  this->Add("front", "salalah", false);
  const VoterPlan plan = this->Plan({HostName("m1")}, {}, 3);
  EXPECT_EQ(plan.add, HostName("s1"));
}

TEST_F(Membership, NobodyIsAdmittedBeyondTheTarget) {
  this->Add("m1", "muscat", true);
  this->Add("s1", "sohar", true);
  EXPECT_TRUE(this->Plan({HostName("m1")}, {}, 1).add.IsEmpty());
}

TEST_F(Membership, ASilentVoterIsReplacedAndOnlyThenRemoved) {
  this->Add("m1", "muscat", true);
  this->Add("m2", "muscat", true);
  this->Add("s1", "sohar", true);
  const std::set<HostName> voters{HostName("m1"), HostName("lost")};
  const VoterPlan first = this->Plan(voters, {HostName("lost")}, 2);
  EXPECT_FALSE(first.add.IsEmpty());
  EXPECT_TRUE(first.remove.IsEmpty());
  std::set<HostName> grown = voters;
  grown.insert(first.add);
  EXPECT_EQ(this->Plan(grown, {HostName("lost")}, 2).remove, HostName("lost"));
}

TEST_F(Membership, ASilentVoterStaysWhereNobodyCanTakeItsPlace) {
  this->Add("m1", "muscat", true);
  const VoterPlan plan =
      this->Plan({HostName("m1"), HostName("lost")}, {HostName("lost")}, 2);
  EXPECT_TRUE(plan.add.IsEmpty());
  EXPECT_TRUE(plan.remove.IsEmpty());
}

TEST(Sources, AHostThatKnowsOnlySeedsAsksThem) {
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

TEST(Sources, NoTwoHostsFollowEachOther) {
  // A region whose hosts with disks are not voters yet: the voters are far.
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

//! Five hosts with disks and three without in three regions, three of them
//! seeds.
class Founding : public testing::Test {
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
                                       kPatience));
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->VoterCount() == 5; },
                                       kPatience));
  }

  std::size_t VoterCount() {
    const HostName leader = this->cluster.Leader();
    return leader.IsEmpty() ? 0 : this->cluster.Node(leader).Voters().size();
  }

  //! Replaces the set and returns what became of it.
  std::optional<state::ApplyOutcome> Replace(const HostName& host,
                                             std::uint64_t number) {
    state::ReplaceSet change;
    change.number = number;
    change.document = "document " + std::to_string(number);
    const std::uint64_t id = this->cluster.Change(host, change);
    this->cluster.RunUntil(
        [&] { return this->cluster.Outcome(host, id).has_value(); }, kPatience);
    return this->cluster.Outcome(host, id);
  }

  bool IsEverywhere(std::uint64_t number) {
    for (const HostName& host : this->cluster.Names()) {
      if (this->cluster.IsUp(host) &&
          this->cluster.Node(host).State().SetNumber() != number) {
        return false;
      }
    }
    return true;
  }

  static constexpr std::chrono::milliseconds kPatience{30'000};
  ControlCluster cluster{Hosts(),
                         {HostName("m1"), HostName("s1"), HostName("l1")},
                         std::chrono::milliseconds(80)};
};

TEST_F(Founding, TheSeedsFoundTheLogAndOthersWithDisksAreAdmitted) {
  EXPECT_EQ(this->VoterCount(), 5U);
  EXPECT_TRUE(this->Replace(HostName("m2"), 7).has_value());
  EXPECT_TRUE(
      this->cluster.RunUntil([&] { return this->IsEverywhere(7); }, kPatience));
}

TEST_F(Founding, TheHighestNumberWinsAndOvertakenOnesChangeNothing) {
  EXPECT_EQ(this->Replace(HostName("m1"), 7)->kind, state::ApplyKind::kApplied);
  EXPECT_EQ(this->Replace(HostName("s2"), 5)->kind,
            state::ApplyKind::kOvertaken);
  EXPECT_EQ(this->Replace(HostName("l1"), 7)->kind,
            state::ApplyKind::kOvertaken);
  EXPECT_EQ(*this->cluster.Node(HostName("m1")).State().Document(),
            "document 7");
}

TEST_F(Founding, AWipedVoterLosesNothingThatWasAcknowledged) {
  ASSERT_TRUE(this->Replace(HostName("m1"), 7).has_value());
  const HostName leader = this->cluster.Leader();
  this->cluster.Crash(leader);
  this->cluster.Wipe(leader);
  this->cluster.Restart(leader);
  ASSERT_TRUE(
      this->cluster.RunUntil([&] { return this->IsEverywhere(7); }, kPatience));
  ASSERT_TRUE(this->Replace(leader, 8).has_value());
  EXPECT_TRUE(
      this->cluster.RunUntil([&] { return this->IsEverywhere(8); }, kPatience));
}

TEST_F(Founding, AllControlHostsMayRestartAtOnce) {
  ASSERT_TRUE(this->Replace(HostName("m1"), 7).has_value());
  const std::vector<HostName> names = this->cluster.Names();
  for (const HostName& host : names) {
    this->cluster.Crash(host);
  }
  for (const HostName& host : names) {
    this->cluster.Restart(host);
  }
  ASSERT_TRUE(this->cluster.RunUntil(
      [&] { return this->cluster.AllReady() && this->IsEverywhere(7); },
      kPatience));
  EXPECT_TRUE(this->Replace(HostName("s2"), 8).has_value());
}

TEST_F(Founding, WordIsBackSoonAfterTheGroupWasWithoutALeader) {
  ASSERT_TRUE(this->Replace(HostName("m1"), 7).has_value());
  const std::vector<HostName> most{HostName("m1"), HostName("s1"),
                                   HostName("l1")};
  for (const int gone_ms : {4'000, 5'000, 6'000, 7'000, 8'000}) {
    for (const HostName& host : most) {
      this->cluster.Crash(host);
    }
    this->cluster.Run(std::chrono::milliseconds(gone_ms));
    for (const HostName& host : most) {
      this->cluster.Restart(host);
    }
    ASSERT_TRUE(this->cluster.RunUntil(
        [&] { return !this->cluster.Leader().IsEmpty(); }, kPatience));
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
    const auto took =
        this->cluster.RunUntil(all_have_leader_contact, kPatience);
    ASSERT_TRUE(took.has_value());
    // The first commit of the term, and two reports on the way to the leader
    // with the messages there and back.
    EXPECT_LE(took->count(), 2'000) << gone_ms;
  }
}

TEST_F(Founding, AClosedDataCentreStaysClosedOverARestart) {
  state::CloseDataCentre close;
  close.data_centre = DataCentreName("sohar-a");
  const std::uint64_t id = this->cluster.Change(HostName("m1"), close);
  ASSERT_TRUE(this->cluster.RunUntil(
      [&] { return this->cluster.Outcome(HostName("m1"), id).has_value(); },
      kPatience));
  for (const HostName& host : this->cluster.Names()) {
    this->cluster.Crash(host);
  }
  for (const state::HostRecord& host : Hosts()) {
    this->cluster.Restart(host.name);
  }
  ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                     kPatience));
  EXPECT_TRUE(this->cluster.SnapshotOf(HostName("s9"))
                  ->closed_data_centres.contains(close.data_centre));
}

TEST_F(Founding, OldWordThatArrivesLateProvesNothing) {
  // A host that was suspended reads what its leader had sent long before.
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

}  // namespace
}  // namespace tamarackwing::control
