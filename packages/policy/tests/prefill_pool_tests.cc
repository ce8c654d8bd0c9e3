#include "tamarackwing/policy/prefill_pool.h"

#include <gtest/gtest.h>

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

//! Requests of both kinds for `span`, ten a second.
void AddWork(PrefillPool& pool,
             milliseconds long_time,
             milliseconds short_time,
             TimePoint& now,
             milliseconds span) {
  for (const TimePoint end = now + span; now < end; now += milliseconds(100)) {
    pool.NoteWork(true, long_time, now);
    pool.NoteWork(false, short_time, now);
  }
}

// The load: a third of the server time goes to long prompts.
TEST(PrefillPoolTest, ShareFollowsTheServerTime) {
  PrefillPool pool;
  TimePoint now = kStart;
  EXPECT_EQ(pool.Share(), 0);
  AddWork(pool, milliseconds(100), milliseconds(200), now,
          milliseconds(90'000));
  EXPECT_NEAR(pool.Share(), 1.0 / 3, PrefillPool::kStep);
  AddWork(pool, milliseconds(200), milliseconds(200), now,
          milliseconds(90'000));
  EXPECT_NEAR(pool.Share(), 0.5, PrefillPool::kStep);
}

// Guards against servers that are kept for a kind of request that hardly comes.
TEST(PrefillPoolTest, OneKindGetsNoServersOfItsOwn) {
  PrefillPool pool;
  TimePoint now = kStart;
  AddWork(pool, milliseconds(2), milliseconds(200), now, milliseconds(5'000));
  EXPECT_EQ(pool.Share(), 0);
  AddWork(pool, milliseconds(20'000), milliseconds(2), now,
          milliseconds(5'000));
  EXPECT_EQ(pool.Share(), 0);
}

// Guards against a clock that is read out of order by two requests.
TEST(PrefillPoolTest, EarlierWorkCountsInFull) {
  PrefillPool pool;
  pool.NoteWork(true, milliseconds(100), kStart);
  pool.NoteWork(false, milliseconds(100), kStart - milliseconds(50));
  EXPECT_EQ(pool.Share(), 0.5);
}

}  // namespace
}  // namespace tamarackwing::policy
