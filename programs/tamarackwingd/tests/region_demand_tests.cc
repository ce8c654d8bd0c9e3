#include "region_demand.h"

#include <gtest/gtest.h>

namespace tamarackwing::daemon {
namespace {

const HostName kSelf("plzen-1");
const HostName kPeer("plzen-2");

TEST(RegionDemand, CountsRunningCallsThatBypassTheGate) {
  policy::OwnLoad load;
  load.running = 40;
  EXPECT_EQ(CountDemand("drafter", kSelf, 0, load, {}, {}).own, 40U);
}

TEST(RegionDemand, CountsRequestsWaitingAtTheGate) {
  policy::OwnLoad load;
  load.running = 4;
  EXPECT_EQ(CountDemand("drafter", kSelf, 9, load, {}, {}).own, 9U);
}

TEST(RegionDemand, AddsTheReportedLoadOfPeers) {
  policy::OwnLoad load;
  load.running = 4;
  load.pending_prefill = 100;
  control::RegionStatus status;
  status.loads = {{"drafter", 64, 30, 9, 2'000}, {"desk", 6, 5, 1, 0}};
  const RegionDemand demand =
      CountDemand("drafter", kSelf, 0, load, {}, {{kPeer, &status}});
  EXPECT_EQ(demand.total, 34U);
  EXPECT_EQ(demand.pending_prefill, 2'100);
  EXPECT_EQ(demand.hosts.at(kPeer), 30U);
}

TEST(RegionDemand, AddsTheOfferedWorkOfPeersWithoutOverflow) {
  control::RegionStatus status;
  status.loads = {{"drafter", 64, 30, 9, 0, 4'000, 1'000, 9'000}};
  control::RegionStatus wrong;
  wrong.loads = {{"drafter", 64, 30, 9, 0, 0xFFFFFFFF, 500, 9'000}};
  const RegionDemand demand =
      CountDemand("drafter", kSelf, 0, {}, {100, 50}, {{kPeer, &status}});
  EXPECT_EQ(demand.offered, 4'100U);
  EXPECT_EQ(demand.movable, 1'050U);
  EXPECT_EQ(CountDemand("drafter", kSelf, 0, {}, {100, 50}, {{kPeer, &wrong}})
                .offered,
            0xFFFFFFFFU);
}

}  // namespace
}  // namespace tamarackwing::daemon
