//! Tests of the choice of the hosts that keep a stream's origin.

#include "tamarackwing/control/stream_keepers.h"

#include <gtest/gtest.h>

namespace tamarackwing::control {
namespace {

std::map<HostName, state::HostRecord> Hosts(int regions, int per_region) {
  std::map<HostName, state::HostRecord> hosts;
  for (int region = 0; region < regions; ++region) {
    for (int i = 0; i < per_region; ++i) {
      state::HostRecord host;
      host.name =
          HostName("h-" + std::to_string(region) + "-" + std::to_string(i));
      host.region = RegionName("r-" + std::to_string(region));
      host.caller_port = i == 0 ? 0 : 80;
      hosts[host.name] = host;
    }
  }
  return hosts;
}

TEST(StreamKeepers, AreTwoEntryHostsOfTwoRegions) {
  const auto hosts = Hosts(3, 4);
  std::map<HostName, int> chosen;
  for (std::uint64_t stream = 0; stream < 9'000; ++stream) {
    const auto keepers = StreamKeepers(stream * 0x9e3779b97f4a7c15U, hosts);
    ASSERT_EQ(keepers.size(), 2U);
    EXPECT_NE(hosts.at(keepers[0]).region, hosts.at(keepers[1]).region);
    for (const HostName& keeper : keepers) {
      ASSERT_TRUE(hosts.at(keeper).IsEntryHost());
      chosen[keeper] += 1;
    }
  }
  ASSERT_EQ(chosen.size(), 9U);
  for (const auto& [name, count] : chosen) {
    EXPECT_GT(count, 1'000) << name.Text();
  }
}

TEST(StreamKeepers, AreOfOneRegionIfThereIsNoOther) {
  EXPECT_EQ(StreamKeepers(7, Hosts(1, 3)).size(), 2U);
  EXPECT_EQ(StreamKeepers(7, Hosts(1, 2)).size(), 1U);
  EXPECT_TRUE(StreamKeepers(7, Hosts(1, 1)).empty());
}

}  // namespace
}  // namespace tamarackwing::control
