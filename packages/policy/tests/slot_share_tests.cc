#include "tamarackwing/policy/slot_share.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace tamarackwing::policy {
namespace {

TEST(SlotShare, SlotsFollowDemand) {
  const auto shares = ShareSlots(
      12, {{HostName("a"), 99}, {HostName("b"), 0}, {HostName("c"), 0}});
  EXPECT_EQ(shares.at(HostName("a")), 12U);
  EXPECT_EQ(shares.at(HostName("b")), 1U);
}

RC_GTEST_PROP(SlotShare, AssignsAllSlotsAndAtMostOneExtraPerHost, ()) {
  const auto slots = static_cast<std::uint32_t>(*rc::gen::inRange(0, 200));
  std::map<HostName, std::uint32_t> demand;
  const int hosts = *rc::gen::inRange(1, 9);
  for (int i = 0; i < hosts; ++i) {
    demand[HostName(std::to_string(i))] =
        static_cast<std::uint32_t>(*rc::gen::inRange(0, 50));
  }
  std::uint32_t assigned = 0;
  for (const auto& [host, share] : ShareSlots(slots, demand)) {
    RC_ASSERT(share >= 1U);
    assigned += share;
  }
  RC_ASSERT(assigned >= slots);
  RC_ASSERT(assigned <= slots + demand.size());
}

}  // namespace
}  // namespace tamarackwing::policy
