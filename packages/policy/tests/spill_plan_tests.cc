#include "tamarackwing/policy/spill_plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/policy/offered_work.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RegionName kBrno("brno");
const RegionName kPlzen("plzen");
const RegionName kTabor("tabor");
constexpr milliseconds kRoundTrip{160};
constexpr milliseconds kPrefill{150};

RegionWork WorkOf(const RegionName& region,
                  double utilization,
                  double movable,
                  std::uint32_t capacity) {
  return {region, static_cast<std::uint32_t>(utilization * capacity),
          static_cast<std::uint32_t>(movable * capacity), capacity, kRoundTrip};
}

double ShareTo(const std::vector<SpillShare>& shares,
               const RegionName& region) {
  for (const SpillShare& share : shares) {
    if (share.region == region) {
      return share.per_mille / 1'000.0;
    }
  }
  return 0;
}

//! Returns the utilization of each region if each follows its plan.
std::map<RegionName, double> Follow(const std::vector<RegionWork>& regions,
                                    Duration prefill = kPrefill) {
  std::map<RegionName, double> result;
  for (const RegionWork& from : regions) {
    const double movable = std::min(from.movable, from.offered);
    result[from.region] += from.offered;
    for (const SpillShare& share : PlanSpill(regions, from.region, prefill)) {
      result[from.region] -= movable * share.per_mille / 1'000.0;
      result[share.region] += movable * share.per_mille / 1'000.0;
    }
  }
  for (const RegionWork& region : regions) {
    result[region.region] /= region.capacity;
  }
  return result;
}

//! Moving half-idle regions' work would only add round trips.
TEST(SpillPlan, NothingMovesIfTheRoundTripCostsMoreThanTheWait) {
  EXPECT_LT(CoolLevel(0.5, kRoundTrip, kPrefill), 0);
  EXPECT_TRUE(PlanSpill({WorkOf(kBrno, 0.6, 0.6, 64'000),
                         WorkOf(kPlzen, 0.31, 0.31, 46'000)},
                        kBrno, kPrefill)
                  .empty());
}

TEST(SpillPlan, MarginMakesTheMoveWorthItsRoundTrip) {
  for (const double hot : {0.6, 0.7, 0.8, 0.9, 0.99}) {
    const double cool = CoolLevel(hot, kRoundTrip, kPrefill);
    const double saved = 0.150 / (1 - hot) - 0.150 / (1 - cool);
    EXPECT_NEAR(saved, 0.160, 1e-9);
  }
  EXPECT_EQ(CoolLevel(1.4, kRoundTrip, kPrefill), 1);
}

TEST(SpillPlan, HotRegionComesDownAndOthersAreFilledByTheirRoom) {
  const std::vector<RegionWork> regions = {WorkOf(kBrno, 1.4, 1.4, 64'000),
                                           WorkOf(kPlzen, 0.1, 0.1, 46'000),
                                           WorkOf(kTabor, 0.1, 0.1, 32'000)};
  const auto after = Follow(regions);
  EXPECT_NEAR(after.at(kPlzen), after.at(kTabor), 0.01);
  EXPECT_NEAR(CoolLevel(after.at(kBrno), kRoundTrip, kPrefill),
              after.at(kPlzen), 0.02);
  EXPECT_LT(after.at(kBrno), 0.8);
}

TEST(SpillPlan, OnlyMovableWorkMoves) {
  const auto half = PlanSpill(
      {WorkOf(kBrno, 1.4, 0.2, 64'000), WorkOf(kPlzen, 0.1, 0.1, 46'000)},
      kBrno, kPrefill);
  EXPECT_GE(ShareTo(half, kPlzen), 0.99);
  const auto none = PlanSpill(
      {WorkOf(kBrno, 1.4, 0, 64'000), WorkOf(kPlzen, 0.1, 0.1, 46'000)}, kBrno,
      kPrefill);
  EXPECT_TRUE(none.empty());
}

//! A home-bound hot region must not keep another one from moving its work.
TEST(SpillPlan, HomeBoundRegionLeavesTheRoomToOthers) {
  const auto after =
      Follow({WorkOf(kBrno, 1.4, 0, 64'000), WorkOf(kPlzen, 1.4, 1.4, 46'000),
              WorkOf(kTabor, 0, 0, 32'000)});
  EXPECT_NEAR(after.at(kBrno), 1.4, 0.001);
  EXPECT_LT(after.at(kPlzen), 1.0);
  EXPECT_GT(after.at(kTabor), 0.7);
}

//! Each region alone would fill all of the third one's room.
TEST(SpillPlan, TwoPeaksDivideTheRoomOfTheThirdRegion) {
  const std::vector<RegionWork> regions = {WorkOf(kBrno, 1.2, 1.2, 64'000),
                                           WorkOf(kPlzen, 1.3, 1.3, 46'000),
                                           WorkOf(kTabor, 0.1, 0.1, 32'000)};
  const auto after = Follow(regions);
  EXPECT_LE(after.at(kTabor), 1.0);
  EXPECT_GT(after.at(kTabor), 0.9);
  EXPECT_NEAR(after.at(kBrno), after.at(kPlzen), 0.02);
}

TEST(SpillPlan, OverloadedRegionDoesNotOverloadOthers) {
  const auto after =
      Follow({WorkOf(kBrno, 4, 4, 64'000), WorkOf(kPlzen, 0.5, 0.5, 46'000)});
  EXPECT_LE(after.at(kPlzen), 1.0);
  EXPECT_GT(after.at(kPlzen), 0.98);
}

TEST(SpillPlan, NearRegionIsFilledBeforeADistantOne) {
  RegionWork distant = WorkOf(kTabor, 0.3, 0.3, 46'000);
  distant.round_trip = milliseconds(900);
  const auto shares = PlanSpill({WorkOf(kBrno, 0.9, 0.9, 64'000),
                                 WorkOf(kPlzen, 0.3, 0.3, 46'000), distant},
                                kBrno, kPrefill);
  EXPECT_GT(ShareTo(shares, kPlzen), 0.1);
  EXPECT_EQ(ShareTo(shares, kTabor), 0);
}

TEST(SpillPlan, MissingOrZeroInformationLeavesARegionOut) {
  const RegionWork hot = WorkOf(kBrno, 1.4, 1.4, 64'000);
  const RegionWork idle = WorkOf(kPlzen, 0.1, 0.1, 46'000);
  const RegionWork unknown = {kTabor, 0, 0, 0, kRoundTrip};
  EXPECT_TRUE(PlanSpill({}, kBrno, kPrefill).empty());
  EXPECT_TRUE(PlanSpill({hot}, kBrno, kPrefill).empty());
  EXPECT_TRUE(PlanSpill({idle}, kBrno, kPrefill).empty());
  EXPECT_TRUE(PlanSpill({hot, unknown}, kBrno, kPrefill).empty());
  EXPECT_EQ(PlanSpill({hot, idle, unknown}, kBrno, kPrefill),
            PlanSpill({hot, idle}, kBrno, kPrefill));
  EXPECT_TRUE(
      PlanSpill({{kBrno, 900, 900, 0, {}}, idle}, kBrno, kPrefill).empty());
  EXPECT_TRUE(PlanSpill({hot, idle}, kBrno, Duration::zero()).empty());
}

//! A host that reports nonsense must not make others send all of their work.
TEST(SpillPlan, ContradictoryInformationKeepsTheBounds) {
  const RegionWork more_movable = {kBrno, 80'000, 0xFFFFFFFF, 64'000, {}};
  const RegionWork idle = WorkOf(kPlzen, 0.1, 0.1, 46'000);
  EXPECT_EQ(
      PlanSpill({more_movable, idle}, kBrno, kPrefill),
      PlanSpill({{kBrno, 80'000, 80'000, 64'000, {}}, idle}, kBrno, kPrefill));
  const RegionWork huge = {kTabor, 0xFFFFFFFF, 0xFFFFFFFF, 1, kRoundTrip};
  const auto shares = PlanSpill({more_movable, idle, huge}, kBrno, kPrefill);
  EXPECT_EQ(ShareTo(shares, kTabor), 0);
  EXPECT_LE(ShareTo(shares, kPlzen), 1);
}

TEST(SpillPlan, DoesNotDependOnTheOrderOfTheRegions) {
  std::vector<RegionWork> regions = {WorkOf(kTabor, 0.1, 0.1, 32'000),
                                     WorkOf(kBrno, 1.4, 0.9, 64'000),
                                     WorkOf(kPlzen, 0.4, 0.1, 46'000)};
  const auto shares = PlanSpill(regions, kBrno, kPrefill);
  std::reverse(regions.begin(), regions.end());
  EXPECT_EQ(PlanSpill(regions, kBrno, kPrefill), shares);
}

TEST(SpillPlan, NoPlanMakesAReceivingRegionBusierThanTheSendingOne) {
  SeededRandom random(7);
  for (int i = 0; i < 2'000; ++i) {
    std::vector<RegionWork> regions;
    for (const RegionName& name : {kBrno, kPlzen, kTabor}) {
      regions.push_back(WorkOf(name, random.Below(2'000) / 1'000.0,
                               random.Below(2'000) / 1'000.0,
                               1'000 + random.Below(64'000)));
    }
    const auto after = Follow(regions, milliseconds(1 + random.Below(400)));
    double least_sender = 10;
    double busiest_receiver = 0;
    for (const RegionWork& region : regions) {
      const double before =
          static_cast<double>(region.offered) / region.capacity;
      const double used = after.at(region.region);
      if (used < before - 1e-9) {
        least_sender = std::min(least_sender, used);
      } else if (used > before + 1e-9) {
        busiest_receiver = std::max(busiest_receiver, used);
      }
    }
    EXPECT_LE(busiest_receiver, least_sender + 1e-6);
    EXPECT_LE(busiest_receiver, 1 + 1e-6);
  }
}

//! Three regions of 64, 46 and 32 servers; one after another offers 2.5 times
//! its mean for 12 s, the others 0.23 times theirs. Each region has several
//! hosts, which learn of other regions from probes: once a second, each at
//! another moment, about loads that are 0.4 s old by then.
class RotatingPeak {
 public:
  static constexpr milliseconds kStep{20};
  static constexpr std::size_t kRegions = 3;

  explicit RotatingPeak(double mean) : mean(mean) {}

  //! Goes on by one step with a peak in region `hot`.
  void Step(std::size_t hot) {
    this->now += kStep;
    for (std::size_t i = 0; i < kRegions; ++i) {
      this->offered[i] =
          this->mean * (i == hot ? 2.5 : 0.23) * kServers[i] * 1'000;
      // Without known slots, a call of T own tokens takes T / 1000 seconds.
      const double tokens = this->offered[i] * kStep.count() / 1'000;
      this->work[i].NoteOffered(
          "", {"", static_cast<TokenCount>(tokens), 0, true}, this->now);
    }
    std::array<WorkRate, kRegions> measured;
    for (std::size_t i = 0; i < kRegions; ++i) {
      measured[i] = this->work[i].RateOf("", this->now);
    }
    this->past.push_back(measured);
    if (this->past.size() > kDelaySteps) {
      this->past.pop_front();
    }
    std::array<double, kRegions> served = this->offered;
    for (std::size_t host = 0; host < kRegions * kHosts; ++host) {
      this->MoveFrom(host, measured, served);
    }
    for (std::size_t i = 0; i < kRegions; ++i) {
      this->utilization[i] = served[i] / (kServers[i] * 1'000);
    }
    this->steps += 1;
  }

  std::array<double, kRegions> utilization{};

 private:
  static constexpr std::array<double, kRegions> kServers = {64, 46, 32};
  static constexpr std::size_t kHosts = 5;
  static constexpr std::size_t kProbeSteps = seconds(1) / kStep;
  static constexpr std::size_t kDelaySteps = milliseconds(400) / kStep;

  //! Moves what a host's share of its region's callers offers.
  void MoveFrom(std::size_t host,
                const std::array<WorkRate, kRegions>& measured,
                std::array<double, kRegions>& served) {
    const std::size_t own = host / kHosts;
    if ((this->steps + host * 11) % kProbeSteps == 0) {
      this->known[host] = this->past.front();
    }
    std::vector<RegionWork> regions;
    for (std::size_t i = 0; i < kRegions; ++i) {
      const WorkRate rate = i == own ? measured[i] : this->known[host][i];
      regions.push_back({kNames[i], rate.offered, rate.movable,
                         static_cast<std::uint32_t>(kServers[i] * 1'000),
                         kRoundTrip});
    }
    for (const SpillShare& share : PlanSpill(regions, kNames[own], kPrefill)) {
      const double moved =
          this->offered[own] / kHosts * share.per_mille / 1'000;
      const auto to = static_cast<std::size_t>(
          std::find(kNames.begin(), kNames.end(), share.region) -
          kNames.begin());
      served[own] -= moved;
      served[to] += moved;
    }
  }

  inline static const std::array<RegionName, kRegions> kNames = {kBrno, kPlzen,
                                                                 kTabor};
  double mean;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  std::size_t steps = 0;
  std::array<OfferedWork, kRegions> work = {OfferedWork({1'000, 50}),
                                            OfferedWork({1'000, 50}),
                                            OfferedWork({1'000, 50})};
  std::array<double, kRegions> offered{};
  std::deque<std::array<WorkRate, kRegions>> past;
  std::array<std::array<WorkRate, kRegions>, kRegions * kHosts> known{};
};

TEST(SpillPlan, RotatingPeakComesDownWithinTwoSecondsAndDoesNotOscillate) {
  for (const double mean : {0.45, 0.55, 0.65}) {
    RotatingPeak replay(mean);
    for (const std::size_t hot : {0, 1, 2, 0, 2, 1}) {
      double highest = 0;
      double lowest = 10;
      for (Duration at{}; at < seconds(12); at += RotatingPeak::kStep) {
        replay.Step(hot);
        if (at >= seconds(2)) {
          for (const double used : replay.utilization) {
            EXPECT_LT(used, 1.0) << mean << " " << hot;
          }
        }
        if (at >= seconds(5)) {
          highest = std::max(highest, replay.utilization[hot]);
          lowest = std::min(lowest, replay.utilization[hot]);
        }
      }
      EXPECT_LT(highest - lowest, 0.05) << mean << " " << hot;
    }
  }
}

}  // namespace
}  // namespace tamarackwing::policy
