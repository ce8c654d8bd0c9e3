#include "tamarackwing/policy/try_plan.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace tamarackwing::policy {
namespace {

TEST(TryPlan, DoesNotResendNonRepeatableRequestThatMayHaveRun) {
  TryPlan plan({false, 3});
  EXPECT_EQ(plan.Next(TryOutcome::kLost), NextStep::kGiveUp);
}

TEST(TryPlan, RetriesNonRepeatableRequestThatDidNotRun) {
  TryPlan plan({false, 1});
  EXPECT_EQ(plan.Next(TryOutcome::kNotRun), NextStep::kTryAnother);
  EXPECT_EQ(plan.Next(TryOutcome::kNotSent), NextStep::kTryAnother);
  EXPECT_FALSE(plan.MayHaveRun());
}

TEST(TryPlan, LimitsRunsOfRepeatableRequest) {
  TryPlan plan({true, 2});
  EXPECT_EQ(plan.Next(TryOutcome::kLost), NextStep::kTryAnother);
  EXPECT_EQ(plan.Next(TryOutcome::kLost), NextStep::kGiveUp);
}

TEST(TryPlan, PassesTheLastFailureToTheCaller) {
  TryPlan plan({true, 2});
  EXPECT_EQ(plan.Next(TryOutcome::kFailed), NextStep::kTryAnother);
  EXPECT_EQ(plan.Next(TryOutcome::kFailed), NextStep::kPassOn);
}

RC_GTEST_PROP(TryPlan,
              RefusedRequestsNeverRanAndRunsAreLimited,
              (bool repeatable)) {
  const auto max_runs = *rc::gen::inRange<std::size_t>(1, 4);
  TryPlan plan({repeatable, max_runs});
  std::size_t runs = 0;
  NextStep step = NextStep::kTryAnother;
  while (step == NextStep::kTryAnother) {
    const auto outcome =
        *rc::gen::element(TryOutcome::kNotSent, TryOutcome::kNotRun,
                          TryOutcome::kLost, TryOutcome::kFailed);
    runs +=
        outcome == TryOutcome::kLost || outcome == TryOutcome::kFailed ? 1 : 0;
    const bool may_follow_loss = plan.MayFollowLoss();
    step = plan.Next(outcome);
    RC_ASSERT(outcome != TryOutcome::kLost ||
              may_follow_loss == (step == NextStep::kTryAnother));
  }
  RC_ASSERT(runs <= (repeatable ? max_runs : 1));
  RC_ASSERT(step != NextStep::kRefuse || runs == 0);
}

}  // namespace
}  // namespace tamarackwing::policy
