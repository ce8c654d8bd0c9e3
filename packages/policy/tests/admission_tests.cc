//! Admission under overload: more requests than all engines have slots for.

#include "tamarackwing/policy/admission.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <queue>
#include <vector>

#include "tamarackwing/base/random_source.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(SlotWaitTest, IsZeroWhileSlotsAreFree) {
  EXPECT_EQ(SlotWait(63, 64, seconds(4)), Duration::zero());
  EXPECT_EQ(SlotWait(79, 64, seconds(4)), seconds(1));
  EXPECT_EQ(SlotWait(5, 0, seconds(4)), Duration::zero());
}

TEST(Admission, AdmitsAllAtShortWaitsAndNoneAtLongWaits) {
  for (std::uint64_t key = 0; key < 1'000; ++key) {
    EXPECT_TRUE(ShouldAdmit(milliseconds(299), seconds(1), key));
    EXPECT_FALSE(ShouldAdmit(milliseconds(900), seconds(1), key));
  }
}

TEST(Admission, AdmitsAllWithoutTarget) {
  EXPECT_TRUE(ShouldAdmit(seconds(50), Duration::zero(), 999));
}

TEST(Admission, RetryDelaysOfRequestsShedTogetherAreSpread) {
  const auto early = ShedRetryDelay(seconds(2), seconds(1), 0);
  const auto late = ShedRetryDelay(seconds(2), seconds(1), 999'000);
  EXPECT_EQ(early, milliseconds(1'700));
  EXPECT_GT(late, milliseconds(3'300));
}

//! Result of a simulated overload.
struct OverloadResult {
  int on_time = 0;
  int late = 0;
  int shed = 0;
  //! Counts of long (0) and short (1) requests.
  std::array<int, 2> offered{};
  std::array<int, 2> accepted{};
};

//! Simulates 20 seconds of a region with 9 engines of 64 slots each, at one and
//! a half times its capacity, with long and short requests. Hosts know the
//! number of requests with a delay of 300 ms. Without `admits` nothing is shed.
OverloadResult Overload(bool admits) {
  constexpr double kSlots = 9 * 64;
  constexpr milliseconds kTarget{1'000};
  constexpr std::array<milliseconds, 2> kRun{milliseconds(4'500),
                                             milliseconds(900)};
  constexpr milliseconds kMeanRun{3'600};
  constexpr int kPerSecond = 240;
  SeededRandom random(20261204);
  OverloadResult result;
  // When each slot becomes free.
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> slots;
  for (int i = 0; i < static_cast<int>(kSlots); ++i) {
    slots.push(TimePoint());
  }
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> ends;
  std::queue<std::pair<TimePoint, std::size_t>> history;
  std::size_t known = 0;
  for (int i = 0; i < 20 * kPerSecond; ++i) {
    const TimePoint now = TimePoint() + Duration(seconds(1)) / kPerSecond * i;
    while (!ends.empty() && ends.top() <= now) {
      ends.pop();
    }
    history.emplace(now, ends.size());
    while (history.front().first + milliseconds(300) < now) {
      known = history.front().second;
      history.pop();
    }
    const std::size_t kind = random.Below(4) == 0 ? 1 : 0;
    result.offered[kind] += 1;
    const Duration wait =
        SlotWait(static_cast<double>(known), kSlots, kMeanRun);
    if (admits && !ShouldAdmit(wait, kTarget, random.Below(1'000'000))) {
      result.shed += 1;
      continue;
    }
    result.accepted[kind] += 1;
    const TimePoint begins = std::max(slots.top(), now);
    slots.pop();
    slots.push(begins + kRun[kind]);
    ends.push(begins + kRun[kind]);
    (begins - now <= kTarget ? result.on_time : result.late) += 1;
  }
  return result;
}

// Guards against requests that take a server's time until their deadline cuts
// them.
TEST(Admission, RequestMustEndBeforeItsDeadline) {
  const ExpectedTimes expected{milliseconds(500), milliseconds(300),
                               milliseconds(1'200)};
  EXPECT_TRUE(FitsDeadline(expected, milliseconds(2'000)));
  EXPECT_FALSE(FitsDeadline(expected, milliseconds(1'999)));
}

// The load: one and a half times what a server can run, each request with 3 s
// until its deadline, at which the server stops working on it.
TEST(AdmissionUnderLoad, RequestsThatCannotEndTakeNoTimeFromOthers) {
  constexpr milliseconds kRun{1'000};
  constexpr milliseconds kLeft{3'000};
  constexpr milliseconds kGap{667};
  const auto served = [&](bool checks_deadline) {
    int count = 0;
    milliseconds free_at{0};
    for (milliseconds now{0}; now < seconds(100); now += kGap) {
      const milliseconds begins = std::max(now, free_at);
      const ExpectedTimes expected{begins - now, milliseconds(0), kRun};
      const bool fits = FitsDeadline(expected, kLeft);
      if (checks_deadline && !fits) {
        continue;
      }
      free_at = std::max(free_at, std::min(begins + kRun, now + kLeft));
      count += fits ? 1 : 0;
    }
    return count;
  };
  EXPECT_GT(served(true), 90);
  EXPECT_LT(served(false), served(true) / 2);
}

TEST(AdmissionUnderLoad, SheddingKeepsMostRequestsOnTime) {
  const OverloadResult all = Overload(false);
  const OverloadResult admitted = Overload(true);
  EXPECT_GT(admitted.on_time, 2 * all.on_time);
  EXPECT_LT(admitted.late, admitted.on_time / 10);
  // The engines can run two thirds of the requests. Nine tenths of these must
  // be on time: requests that could have run are rarely shed.
  const int total = all.on_time + all.late;
  EXPECT_GT(admitted.on_time, total * 9 / 10 * 2 / 3);
}

TEST(AdmissionUnderLoad, ShedsLongAndShortRequestsAlike) {
  const OverloadResult result = Overload(true);
  const double first = 1.0 * result.accepted[0] / result.offered[0];
  const double second = 1.0 * result.accepted[1] / result.offered[1];
  EXPECT_NEAR(first, second, 0.05);
}

}  // namespace
}  // namespace tamarackwing::policy
