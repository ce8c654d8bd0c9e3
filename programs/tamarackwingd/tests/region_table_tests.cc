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

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kTarget = "drafter";
const RegionName kOwn("brno");
const RegionName kPlzen("plzen");
const RegionName kTabor("tabor");

class SpillTableTest : public testing::Test {
 protected:
  //! An entry host, or one that has only a disk.
  static state::HostRecord Host(const std::string& name, bool is_entry = true) {
    state::HostRecord host;
    host.name = HostName(name);
    host.caller_port = is_entry ? 1 : 0;
    host.forward_port = 7;
    return host;
  }
  static control::TargetLoad Load(std::uint32_t offered,
                                  std::uint32_t capacity) {
    return {kTarget, 64, 0, 4, 0, offered, offered, capacity};
  }
  void Probe(const RegionName& region,
             std::uint32_t offered,
             std::uint32_t capacity,
             milliseconds round_trip = milliseconds(160),
             const state::HostRecord& host = Host("x-1")) {
    this->table.NoteProbe(host, {1, region, {Load(offered, capacity)}},
                          round_trip);
  }
  //! Reports a hot own region.
  void MakeHot() { this->table.NoteOwnLoads({Load(90'000, 64'000)}); }
  //! Returns the share of a region; nullopt if it is left out of the plan.
  std::optional<std::uint32_t> ShareOf(const RegionName& region) {
    const auto plan = this->table.PlanFor(kTarget);
    if (plan) {
      for (const gateway::PlannedRegion& planned : plan->regions) {
        if (planned.host.region == region) {
          return planned.per_mille;
        }
      }
    }
    return std::nullopt;
  }

  void SetUp() override {
    // 4,500 tokens at the assumed rate are a prefill of 150 ms.
    this->table.NoteOffered(kTarget, {"notes", 4'500, 0, true});
  }

  ManualClock clock;
  RegionTable table{this->clock, 1'000, {kOwn, {30'000, 50}}};
};

TEST_F(SpillTableTest, PlansWithTheLoadsOfAllRegions) {
  this->Probe(kPlzen, 5'000, 46'000);
  this->Probe(kTabor, 3'000, 32'000);
  this->MakeHot();
  EXPECT_GT(this->ShareOf(kPlzen), this->ShareOf(kTabor));
  EXPECT_GT(this->ShareOf(kTabor), 100U);
  const auto plan = this->table.PlanFor(kTarget);
  EXPECT_EQ(plan->per_mille, *this->ShareOf(kPlzen) + *this->ShareOf(kTabor));
  EXPECT_EQ(plan->regions[0].host.endpoint.port, 7);
  ASSERT_EQ(this->table.Spills().size(), 1U);
  EXPECT_EQ(this->table.Spills()[0].regions.size(), 3U);
}

//! Work would be sent to a region that may be at its own peak by now.
TEST_F(SpillTableTest, LeavesOutARegionThatHasNotRepliedForThreeSeconds) {
  this->Probe(kPlzen, 5'000, 46'000);
  this->clock.Advance(seconds(2));
  this->Probe(kTabor, 3'000, 32'000);
  this->MakeHot();
  EXPECT_TRUE(this->ShareOf(kPlzen));
  this->clock.Advance(seconds(1));
  this->MakeHot();
  EXPECT_FALSE(this->ShareOf(kPlzen));
  EXPECT_TRUE(this->ShareOf(kTabor));
}

//! The control thread may stall while the traffic threads go on.
TEST_F(SpillTableTest, PlanExpiresIfItIsNotRenewed) {
  this->Probe(kPlzen, 5'000, 46'000);
  this->MakeHot();
  this->clock.Advance(milliseconds(2'999));
  EXPECT_TRUE(this->ShareOf(kPlzen));
  this->clock.Advance(milliseconds(1));
  EXPECT_EQ(this->table.PlanFor(kTarget), nullptr);
}

//! Hosts of the former build report neither work nor capacity.
TEST_F(SpillTableTest, LeavesOutARegionWithoutCapacity) {
  this->Probe(kPlzen, 0, 0);
  this->MakeHot();
  EXPECT_FALSE(this->ShareOf(kPlzen));
  this->Probe(kPlzen, 5'000, 46'000);
  this->MakeHot();
  EXPECT_GT(this->ShareOf(kPlzen), 0U);
  this->Probe(kPlzen, 5'000, 0);
  this->MakeHot();
  EXPECT_FALSE(this->ShareOf(kPlzen));
}

//! A host with a disk only serves no calls.
TEST_F(SpillTableTest, PlansOnlyWithEntryHosts) {
  this->Probe(kPlzen, 5'000, 46'000, milliseconds(160), Host("p-disk", false));
  this->MakeHot();
  EXPECT_FALSE(this->ShareOf(kPlzen));
  this->Probe(kPlzen, 5'000, 46'000, milliseconds(160), Host("p-1"));
  this->Probe(kPlzen, 5'000, 46'000, milliseconds(160), Host("p-disk", false));
  this->MakeHot();
  ASSERT_TRUE(this->ShareOf(kPlzen));
  EXPECT_EQ(this->table.PlanFor(kTarget)->regions[0].host.host,
            HostName("p-1"));
}

TEST_F(SpillTableTest, HostThatLostItsLinksToServersIsNotPlannedWith) {
  this->Probe(kPlzen, 5'000, 46'000);
  // The last reply is from another host, which serves no calls.
  this->Probe(kPlzen, 5'000, 46'000, milliseconds(160), Host("p-disk", false));
  const control::ProbeReply reply{2, kPlzen, {Load(5'000, 46'000)}, true};
  this->table.NoteProbe(Host("x-1"), reply, milliseconds(160));
  this->MakeHot();
  EXPECT_FALSE(this->ShareOf(kPlzen));
}

//! A busy host's late reply would forbid all moves until the next probe.
TEST_F(SpillTableTest, OneLateReplyDoesNotMakeTheLinkSlow) {
  this->Probe(kPlzen, 5'000, 46'000, milliseconds(160));
  this->Probe(kPlzen, 5'000, 46'000, milliseconds(480));
  this->MakeHot();
  EXPECT_EQ(this->table.PlanFor(kTarget)->regions[0].round_trip,
            milliseconds(200));
  this->Probe(kPlzen, 5'000, 46'000, milliseconds(150));
  this->MakeHot();
  EXPECT_EQ(this->table.PlanFor(kTarget)->regions[0].round_trip,
            milliseconds(150));
}

TEST_F(SpillTableTest, ReportsTheWorkThatThisHostsCallersOffer) {
  EXPECT_NEAR(this->table.OfferedOf(kTarget).offered, 150, 1);
  EXPECT_EQ(this->table.OfferedOf("desk").offered, 0U);
}

TEST(RegionTable, MakesNoPlansWithoutTheSwitch) {
  const ManualClock clock;
  RegionTable table(clock, 1'000);
  table.NoteOffered(kTarget, {"notes", 4'500, 0, true});
  table.NoteOwnLoads({{kTarget, 64, 0, 2, 4'000, 900, 900, 100}});
  EXPECT_EQ(table.OfferedOf(kTarget).offered, 0U);
  EXPECT_EQ(table.PlanFor(kTarget), nullptr);
  EXPECT_TRUE(table.Spills().empty());
}

}  // namespace
}  // namespace tamarackwing::daemon
