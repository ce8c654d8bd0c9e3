#include "turn_watch.h"

#include <gtest/gtest.h>

namespace tamarackwing::daemon {
namespace {

using std::chrono::milliseconds;

TEST(TurnWatch, ReportsWhatKeptALateTick) {
  ManualClock clock;
  TurnWatch watch;
  EXPECT_FALSE(watch.NoteTick(clock.Now()).has_value());
  for (const int took_ms : {10, 700, 20}) {
    const TurnWatch::Turn turn(watch, clock,
                               took_ms == 700 ? "feed_request" : "log");
    clock.Advance(milliseconds(took_ms));
  }
  clock.Advance(milliseconds(70));
  const auto late = watch.NoteTick(clock.Now());
  ASSERT_TRUE(late.has_value());
  EXPECT_EQ(late->gap, milliseconds(800));
  EXPECT_EQ(late->turns, 3U);
  EXPECT_EQ(late->busy, milliseconds(730));
  EXPECT_EQ(late->longest, milliseconds(700));
  EXPECT_EQ(late->longest_kind, "feed_request");
}

TEST(TurnWatch, TicksInTimeAreNotReported) {
  ManualClock clock;
  TurnWatch watch;
  for (int i = 0; i < 10; ++i) {
    EXPECT_FALSE(watch.NoteTick(clock.Now()).has_value());
    clock.Advance(milliseconds(50));
  }
}

}  // namespace
}  // namespace tamarackwing::daemon
