#include "disk_watch.h"

#include <gtest/gtest.h>

#include <chrono>

namespace tamarackwing::daemon {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

TEST(DiskWatch, StallIsToldWhileItLastsAndWhenItEnds) {
  DiskWatch watch;
  watch.NoteQueued(DiskWatch::Journal::kLog, 1, kStart);
  watch.NoteQueued(DiskWatch::Journal::kLog, 2, kStart + milliseconds(900));
  EXPECT_FALSE(watch.TakeStall(kStart + milliseconds(900)));
  EXPECT_FALSE(watch.TakeEndOfStall(kStart + milliseconds(900)));
  EXPECT_EQ(watch.TakeStall(kStart + milliseconds(1'100)), milliseconds(1'100));
  EXPECT_FALSE(watch.TakeStall(kStart + milliseconds(1'200)));
  EXPECT_EQ(watch.Waiting(kStart + milliseconds(5'000)), milliseconds(5'000));
  const TimePoint end = kStart + milliseconds(6'000);
  EXPECT_FALSE(watch.TakeEndOfStall(end));
  EXPECT_EQ(watch.NoteWritten(DiskWatch::Journal::kLog, 2, end),
            milliseconds(6'000));
  EXPECT_EQ(watch.TakeEndOfStall(end), milliseconds(6'000));
  EXPECT_FALSE(watch.TakeEndOfStall(end));
  EXPECT_EQ(watch.Waiting(end), milliseconds(0));
}

TEST(DiskWatch, JournalsAreCountedApart) {
  DiskWatch watch;
  watch.NoteQueued(DiskWatch::Journal::kLedger, 1, kStart);
  watch.NoteQueued(DiskWatch::Journal::kLog, 1, kStart + milliseconds(500));
  watch.NoteWritten(DiskWatch::Journal::kLog, 1, kStart + milliseconds(600));
  EXPECT_EQ(watch.Waiting(kStart + milliseconds(700)), milliseconds(700));
}

}  // namespace
}  // namespace tamarackwing::daemon
