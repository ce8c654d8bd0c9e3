#include "tamarackwing/policy/spill.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;

//! Simulates three regions of different sizes whose peaks rotate. A region's
//! wait is given by its backlog, which hosts know with a delay of one second.
class RotatingPeaks {
 public:
  static constexpr int kRegions = 3;
  static constexpr int kStepMs = 100;
  static constexpr int kLag = 10;

  //! Returns the mean wait of a call in milliseconds, including the network
  //! latency to another region.
  double MeanWait(bool spills) {
    std::array<double, kRegions> backlog{};
    std::array<std::array<double, kRegions>, kLag> known{};
    const std::array<double, kRegions> capacity{9, 6, 3};
    double waited = 0;
    double calls = 0;
    std::uint64_t key = 1;
    for (int step = 0; step < 600; ++step) {
      const auto& seen = known[step % kLag];
      for (int region = 0; region < kRegions; ++region) {
        const bool is_peak = (step / 120) % kRegions == region;
        const int arrivals = is_peak ? 14 : 2;
        for (int i = 0; i < arrivals; ++i) {
          key = key * 6364136223846793005ULL + 1442695040888963407ULL;
          const int to = spills ? Choose(region, seen, key >> 33) : region;
          waited += backlog[to] / capacity[to] * kStepMs +
                    (to == region ? 0 : kLatencyMs);
          calls += 1;
          backlog[to] += 1;
        }
      }
      std::array<double, kRegions>& now = known[step % kLag];
      for (int region = 0; region < kRegions; ++region) {
        backlog[region] = std::max(0.0, backlog[region] - capacity[region]);
        now[region] = backlog[region] / capacity[region] * kStepMs;
      }
    }
    return waited / calls;
  }

 private:
  static constexpr int kLatencyMs = 160;

  static int Choose(int region,
                    const std::array<double, kRegions>& waits,
                    std::uint64_t key) {
    int best = region;
    for (int other = 0; other < kRegions; ++other) {
      if (waits[other] < waits[best]) {
        best = other;
      }
    }
    const auto ms = [](double wait) {
      return milliseconds(static_cast<std::int64_t>(wait));
    };
    const bool leaves =
        best != region &&
        ShouldSpill(ms(waits[region]),
                    ms(waits[best]) + milliseconds(kLatencyMs), key);
    return leaves ? best : region;
  }
};

TEST(Spill, DoesNotSpillForASmallSaving) {
  for (std::uint64_t key = 0; key < 1'000; ++key) {
    EXPECT_FALSE(ShouldSpill(milliseconds(200), milliseconds(160), key));
  }
}

TEST(Spill, SpillsOnlyAShareOfTheCalls) {
  int leave = 0;
  for (std::uint64_t key = 0; key < 1'000; ++key) {
    leave += ShouldSpill(milliseconds(2'000), milliseconds(160), key) ? 1 : 0;
  }
  EXPECT_GT(leave, 300);
  EXPECT_LE(leave, 500);
}

TEST(Spill, SpillingMoreThanHalvesTheWaitUnderRotatingPeaks) {
  const double alone = RotatingPeaks().MeanWait(false);
  const double shared = RotatingPeaks().MeanWait(true);
  EXPECT_LT(shared, alone / 2) << alone << " " << shared;
}

}  // namespace
}  // namespace tamarackwing::policy
