#include <gtest/gtest.h>

#include "tamarackwing/control/membership_duties.h"

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
    this->watch.NoteStatus(status, this->clock.Now());
  }

  VoterPlan Plan(std::set<HostName> voters,
                 std::set<HostName> silent,
                 std::size_t target) {
    return PlanVoters({std::move(voters), std::move(silent), target},
                      this->state, this->watch, this->clock.Now());
  }

  ManualClock clock;
  state::ControlState state;
  HostWatch watch{std::chrono::seconds(3)};
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

}  // namespace
}  // namespace tamarackwing::control
