#include "tamarackwing/control/bucket_keepers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace tamarackwing::control {
namespace {

class BucketKeepersTest : public testing::Test {
 protected:
  BucketKeepersTest() {
    for (const char* const region : {"muscat", "sohar"}) {
      for (int i = 0; i < 6; ++i) {
        state::HostRecord host;
        host.name = HostName(region + std::to_string(i));
        host.region = RegionName(region);
        host.has_disk = i < 3;
        this->hosts[host.name] = host;
        this->live[host.region].insert(host.name);
      }
    }
  }

  std::vector<HostName> Keepers(const std::string& workspace) {
    return BucketKeepers(WorkspaceName(workspace), RegionName("muscat"),
                         this->leader, this->hosts, this->live);
  }

  HostName leader;
  std::map<HostName, state::HostRecord> hosts;
  std::map<RegionName, std::set<HostName>> live;
};

TEST_F(BucketKeepersTest, OwnRegionComesFirst) {
  const auto keepers = this->Keepers("desk");
  ASSERT_EQ(keepers.size(), 6U);
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(keepers[i].Text().front(), 'm');
    EXPECT_EQ(keepers[i + 3].Text().front(), 's');
  }
}

// Guards against a leader that has no time left for heartbeats, because it
// answers each request of its region for tokens.
TEST_F(BucketKeepersTest, LeaderComesLastInItsRegion) {
  this->leader = HostName("muscat1");
  for (int i = 0; i < 60; ++i) {
    const auto keepers = this->Keepers("w" + std::to_string(i));
    ASSERT_EQ(keepers.size(), 6U);
    EXPECT_EQ(keepers[2], this->leader);
  }
  // It still comes before the hosts of other regions.
  this->live[RegionName("muscat")] = {this->leader};
  EXPECT_EQ(this->Keepers("desk").front(), this->leader);
}

TEST_F(BucketKeepersTest, LostHostMovesOnlyItsWorkspaces) {
  std::map<std::string, HostName> before;
  std::map<HostName, int> kept;
  for (int i = 0; i < 60; ++i) {
    const std::string workspace = "w" + std::to_string(i);
    before[workspace] = this->Keepers(workspace).front();
    kept[before[workspace]] += 1;
  }
  EXPECT_EQ(kept.size(), 3U);
  const HostName lost("muscat1");
  this->live[RegionName("muscat")].erase(lost);
  for (const auto& [workspace, keeper] : before) {
    if (keeper != lost) {
      EXPECT_EQ(this->Keepers(workspace).front(), keeper);
    }
  }
}

// Guards against questions that reach another host than the one which keeps the
// workspace's bucket in its region: tokens would be divided among more buckets.
TEST_F(BucketKeepersTest, OtherRegionsAreAskedAtTheirFirstKeepers) {
  for (const char* const region : {"nizwa", "salalah"}) {
    state::HostRecord host;
    host.name = HostName(region + std::string("0"));
    host.region = RegionName(region);
    host.has_disk = true;
    this->hosts[host.name] = host;
    this->live[host.region] = {host.name};
  }
  const auto others = [this](const std::string& workspace,
                             const std::set<HostName>& silent) {
    return KeepersOfOtherRegions(WorkspaceName(workspace), RegionName("muscat"),
                                 this->leader, this->hosts, this->live, silent,
                                 2);
  };
  this->leader = HostName("sohar1");
  std::map<HostName, int> asked;
  for (int i = 0; i < 60; ++i) {
    const std::string workspace = "w" + std::to_string(i);
    const auto in_sohar =
        BucketKeepers(WorkspaceName(workspace), RegionName("sohar"),
                      this->leader, this->hosts, this->live);
    const auto keepers = others(workspace, {});
    ASSERT_EQ(keepers.size(), 2U);
    for (const HostName& keeper : keepers) {
      asked[keeper] += 1;
      const bool is_in_sohar =
          keeper.Text().front() == 's' && keeper.Text() != "salalah0";
      EXPECT_TRUE(!is_in_sohar || keeper == in_sohar.front());
    }
    EXPECT_EQ(std::count(keepers.begin(), keepers.end(), this->leader), 0);
    const auto without = others(workspace, {in_sohar.front()});
    EXPECT_EQ(std::count(without.begin(), without.end(), in_sohar.front()), 0);
  }
  // The regions differ between workspaces.
  EXPECT_LT(asked[HostName("nizwa0")], 60);
  EXPECT_LT(asked[HostName("salalah0")], 60);
}

}  // namespace
}  // namespace tamarackwing::control
