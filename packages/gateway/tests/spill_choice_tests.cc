#include "spill_choice.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::gateway {
namespace {

SpillPlan PlanOf(std::uint32_t plzen, std::uint32_t tabor) {
  SpillPlan plan;
  for (const auto& [name, share] :
       {std::pair("plzen", plzen), std::pair("tabor", tabor)}) {
    PlannedRegion region;
    region.host.region = RegionName(name);
    region.per_mille = share;
    plan.regions.push_back(region);
    plan.per_mille += share;
  }
  return plan;
}

bool Any(const PlannedRegion&) {
  return true;
}

//! Returns how many of 10,000 keys go to each region; those that stay count for
//! the empty name.
std::map<std::string, int> Spread(
    const SpillPlan& plan,
    const std::function<bool(const PlannedRegion&)>& may_use) {
  std::map<std::string, int> counts;
  for (int i = 0; i < 10'000; ++i) {
    const PlannedRegion* const region = ChooseRegion(
        plan, policy::RendezvousKey("call " + std::to_string(i)), may_use);
    counts[region == nullptr ? "" : region->host.region.Text()] += 1;
  }
  return counts;
}

//! A share that is missed sends too much or too little work away.
TEST(SpillChoice, MovesThePlannedShares) {
  auto counts = Spread(PlanOf(300, 100), Any);
  EXPECT_NEAR(counts["plzen"], 3'000, 200);
  EXPECT_NEAR(counts["tabor"], 1'000, 120);
  EXPECT_NEAR(counts[""], 6'000, 250);
}

//! Calls of routes bound to two of three regions still bring down the load.
TEST(SpillChoice, ForbiddenRegionLeavesItsShareToTheOthers) {
  auto counts = Spread(PlanOf(300, 100), [](const PlannedRegion& region) {
    return region.host.region == RegionName("tabor");
  });
  EXPECT_EQ(counts["plzen"], 0);
  EXPECT_NEAR(counts["tabor"], 4'000, 250);
}

TEST(SpillChoice, NothingMovesWithoutAUsableRegion) {
  const auto none = [](const PlannedRegion&) { return false; };
  EXPECT_EQ(Spread(PlanOf(600, 400), none)[""], 10'000);
  EXPECT_EQ(Spread(SpillPlan(), Any)[""], 10'000);
  EXPECT_EQ(Spread(PlanOf(0, 0), Any)[""], 10'000);
}

//! A prefix that changes its region at each change of the plan would lose its
//! cache each time.
TEST(SpillChoice, GrowingShareKeepsTheMovedPrefixes) {
  for (std::uint64_t prefix = 1; prefix < 2'000; ++prefix) {
    if (ChooseRegion(PlanOf(200, 0), prefix, Any) != nullptr) {
      EXPECT_NE(ChooseRegion(PlanOf(400, 0), prefix, Any), nullptr);
    }
  }
}

}  // namespace
}  // namespace tamarackwing::gateway
