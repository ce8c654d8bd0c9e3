#include "tamarackwing/control/load_collectors.h"

#include <gtest/gtest.h>

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{250};
const TimePoint kStart = TimePoint() + std::chrono::hours(1);
const RegionName kRegion("muscat");

class LoadCollectorsTest : public testing::Test {
 protected:
  LoadCollectorsTest() {
    for (const char* const name : {"a", "b", "c"}) {
      this->Add(name, "muscat", true);
    }
    this->Add("entry", "muscat", false);
    this->Add("far", "sohar", true);
  }

  void Add(const std::string& name, const std::string& region, bool has_disk) {
    state::HostRecord host;
    host.name = HostName(name);
    host.region = RegionName(region);
    host.has_disk = has_disk;
    this->hosts[host.name] = host;
    this->live.insert(host.name);
  }

  std::vector<HostName> Collectors(const std::string& leader = "") const {
    return LoadCollectors(kRegion, HostName(leader), this->hosts, this->live);
  }

  std::map<HostName, state::HostRecord> hosts;
  std::set<HostName> live;
};

TEST_F(LoadCollectorsTest, NamesTheLiveHostsWithDisksOfTheRegion) {
  EXPECT_EQ(this->Collectors().size(), 3U);
  const HostName first = this->Collectors().front();
  this->live.erase(first);
  EXPECT_EQ(this->Collectors().size(), 2U);
  this->hosts[this->Collectors().front()].draining = true;
  EXPECT_EQ(this->Collectors().size(), 1U);
}

// Guards against work that takes the processor from the leader's heartbeats.
TEST_F(LoadCollectorsTest, TheLeaderComesLast) {
  const HostName first = this->Collectors().front();
  EXPECT_EQ(this->Collectors(first.Text()).back(), first);
}

// Guards against a region without shared loads after its collector has stopped,
// froze or lost its links, while the others still count it as live.
TEST_F(LoadCollectorsTest, PassesOverACollectorThatDoesNotReply) {
  LoadFollower follower(kInterval);
  const std::vector<HostName> collectors = this->Collectors();
  TimePoint now = kStart;
  EXPECT_EQ(follower.Due(collectors, now), collectors[0]);
  EXPECT_EQ(follower.Due(collectors, now), std::nullopt);
  for (int i = 0; i < 3; ++i) {
    now += kInterval;
    follower.NoteReply(collectors[0], now);
    EXPECT_EQ(follower.Due(collectors, now), collectors[0]);
  }
  std::optional<HostName> asked;
  for (int i = 0; i < 4; ++i) {
    now += kInterval;
    asked = follower.Due(collectors, now);
  }
  EXPECT_EQ(asked, collectors[1]);
  for (int i = 0; i < 9; ++i) {
    now += kInterval;
    follower.NoteReply(collectors[1], now);
    asked = follower.Due(collectors, now);
  }
  EXPECT_EQ(asked, collectors[0]);
}

// Guards against a host that leaves the others' collector after a stall of its
// own, and then knows only its own load.
TEST_F(LoadCollectorsTest, OwnStallIsNotTheCollectorsFault) {
  LoadFollower follower(kInterval);
  const std::vector<HostName> collectors = this->Collectors();
  EXPECT_EQ(follower.Due(collectors, kStart), collectors[0]);
  EXPECT_EQ(follower.Due(collectors, kStart + std::chrono::seconds(5)),
            collectors[0]);
}

TEST_F(LoadCollectorsTest, NobodyIsAskedWithoutCollectors) {
  LoadFollower follower(kInterval);
  EXPECT_EQ(follower.Due({}, kStart), std::nullopt);
}

}  // namespace
}  // namespace tamarackwing::control
