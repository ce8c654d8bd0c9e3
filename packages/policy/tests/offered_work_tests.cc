#include "tamarackwing/policy/offered_work.h"

#include <gtest/gtest.h>

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kTarget = "drafter";
const OfferedCall kNotes{"notes", 3'000, 50, true};

class OfferedWorkTest : public testing::Test {
 protected:
  //! Brings `count` calls, evenly over `span`.
  void Bring(const OfferedCall& call, int count, Duration span) {
    for (int i = 0; i < count; ++i) {
      this->now += span / count;
      this->work.NoteOffered(kTarget, call, this->now);
    }
  }

  OfferedWork work{{30'000, 50}};
  TimePoint now = TimePoint() + std::chrono::hours(1);
};

// Guards against short calls that look free: a server of the observed kind
// spends 64 ms on each, so that a region full of them looked half idle.
TEST_F(OfferedWorkTest, CountsWhatEachCallCosts) {
  ServedCall served;
  served.route = "chat";
  served.own_tokens = 300;
  for (int i = 0; i < 64; ++i) {
    served.until_first = milliseconds(74 + 10 * (i % 8));
    this->work.NoteServed(kTarget, served);
  }
  OfferedCall call;
  call.route = "chat";
  call.own_tokens = 300;
  for (int i = 0; i < 500; ++i) {
    this->now += milliseconds(10);
    this->work.NoteOffered(kTarget, call, this->now);
  }
  EXPECT_NEAR(this->work.RateOf(kTarget, this->now).offered, 7'400, 400);
}

//! 20 calls a second with 100 ms of prefill and 1 s of output in 16 slots.
TEST_F(OfferedWorkTest, CountsPrefillAndTheShareOfAServerDuringOutput) {
  this->work.SetSlots(kTarget, 16);
  this->Bring(kNotes, 200, seconds(10));
  const WorkRate rate = this->work.RateOf(kTarget, this->now);
  EXPECT_NEAR(rate.offered, 3'250, 150);
  EXPECT_EQ(rate.movable, rate.offered);
}

TEST_F(OfferedWorkTest, CountsNoOutputWhileSlotsAreUnknown) {
  this->Bring(kNotes, 200, seconds(10));
  EXPECT_NEAR(this->work.RateOf(kTarget, this->now).offered, 2'000, 100);
}

TEST_F(OfferedWorkTest, HomeBoundCallsAreNotMovable) {
  OfferedCall bound = kNotes;
  bound.is_movable = false;
  this->Bring(bound, 200, seconds(10));
  EXPECT_EQ(this->work.RateOf(kTarget, this->now).movable, 0U);
}

//! A peak that has ended must not move work for long.
TEST_F(OfferedWorkTest, RateDecaysWithinSeconds) {
  this->Bring(kNotes, 200, seconds(10));
  EXPECT_LT(this->work.RateOf(kTarget, this->now + seconds(2)).offered, 300U);
  EXPECT_EQ(this->work.RateOf(kTarget, this->now + seconds(60)).offered, 0U);
}

//! Threads may read the clock in another order than they record calls.
TEST_F(OfferedWorkTest, CallsOutOfOrderDoNotInflateTheRate) {
  this->Bring(kNotes, 200, seconds(10));
  const std::uint32_t before = this->work.RateOf(kTarget, this->now).offered;
  this->work.NoteOffered(kTarget, kNotes, this->now - seconds(5));
  EXPECT_LE(this->work.RateOf(kTarget, this->now).offered, before + 100);
  EXPECT_LE(this->work.RateOf(kTarget, this->now - seconds(5)).offered,
            before + 100);
}

TEST_F(OfferedWorkTest, LearnsTheOutputTimeOfEachRoute) {
  this->work.SetSlots(kTarget, 10);
  this->work.NoteServed(kTarget, {"notes", 0, 0, {}, seconds(4)});
  this->Bring(kNotes, 200, seconds(10));
  EXPECT_NEAR(this->work.RateOf(kTarget, this->now).offered, 10'000, 500);
}

//! Nine of ten requests wait behind others; the fastest tenth shows the rate.
TEST_F(OfferedWorkTest, LearnsThePrefillRateDespiteWaits) {
  for (int i = 0; i < 2'000; ++i) {
    const bool is_undisturbed = i % 6 == 0;
    this->work.NoteServed(
        kTarget, {"notes",
                  3'000,
                  0,
                  is_undisturbed ? milliseconds(200) : milliseconds(900),
                  {}});
  }
  EXPECT_NEAR(this->work.PrefillRateOf(kTarget), 15'000, 1'500);
}

TEST_F(OfferedWorkTest, IgnoresBusyServersShortPromptsAndWrongTimes) {
  for (int i = 0; i < 100; ++i) {
    this->work.NoteServed(kTarget, {"notes", 3'000, 2, seconds(2), {}});
    this->work.NoteServed(kTarget, {"notes", 600, 0, seconds(2), {}});
    this->work.NoteServed(kTarget, {"notes", 3'000, 0, seconds(-2), {}});
  }
  EXPECT_DOUBLE_EQ(this->work.PrefillRateOf(kTarget), 30'000);
}

//! A prompt whose own part is cached, too, is answered at once.
TEST_F(OfferedWorkTest, FewRepeatedPromptsDoNotChangeTheRateMuch) {
  for (int i = 0; i < 1'000; ++i) {
    const bool is_repeated = i % 20 == 0;
    this->work.NoteServed(kTarget,
                          {"notes",
                           3'000,
                           0,
                           is_repeated ? milliseconds(1) : milliseconds(100),
                           {}});
  }
  EXPECT_NEAR(this->work.PrefillRateOf(kTarget), 30'000, 3'000);
}

//! Of the prefill time that a prompt finds ahead of it, long ones are most.
TEST_F(OfferedWorkTest, TypicalPrefillIsWeightedByTime) {
  EXPECT_EQ(this->work.TypicalPrefill(kTarget), Duration::zero());
  for (int i = 0; i < 100; ++i) {
    this->Bring({"notes", 3'000, 50, true}, 1, milliseconds(10));
    this->Bring({"chat", 300, 50, true}, 9, milliseconds(10));
  }
  const Duration typical = this->work.TypicalPrefill(kTarget);
  EXPECT_GT(typical, milliseconds(35));
  EXPECT_LT(typical, milliseconds(80));
}

}  // namespace
}  // namespace tamarackwing::policy
