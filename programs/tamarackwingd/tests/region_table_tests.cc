#include "region_table.h"

#include <gtest/gtest.h>

namespace tamarackwing::daemon {
namespace {

TEST(RegionTable, OwnWaitIsPendingPrefillOverPrefillRateOfAllServers) {
  const ManualClock clock;
  RegionTable table(clock, 1'000);
  table.NoteOwnLoads({{"drafter", 64, 0, 2, 4'000}});
  EXPECT_EQ(table.OwnWait("drafter"), std::chrono::seconds(2));
  EXPECT_EQ(table.OwnWait("desk"), Duration::zero());
}

TEST(RegionTable, SetPrefillRateChangesOwnWait) {
  const ManualClock clock;
  RegionTable table(clock, 1'000);
  table.NoteOwnLoads({{"drafter", 64, 0, 2, 4'000}});
  table.SetPrefillRate(4'000);
  EXPECT_EQ(table.OwnWait("drafter"), std::chrono::milliseconds(500));
}

}  // namespace
}  // namespace tamarackwing::daemon
