#include "tamarackwing/policy/try_plan.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace tamarackwing::policy {
namespace {

TEST(TryPlan, ARequestThatRunsOnceIsNotSentAgainOnceItMayHaveRun) {
  TryPlan plan({false, 3});
  EXPECT_EQ(plan.Next(TryOutcome::kLost), NextStep::kGiveUp);
}

TEST(TryPlan, ARequestThatRunsOnceGoesOnAfterAServerThatDidNotRunIt) {
  TryPlan plan({false, 1});
  EXPECT_EQ(plan.Next(TryOutcome::kNotRun), NextStep::kTryAnother);
  EXPECT_EQ(plan.Next(TryOutcome::kNotSent), NextStep::kTryAnother);
  EXPECT_FALSE(plan.MayHaveRun());
}

TEST(TryPlan, ARepeatableRequestRunsOnNoMoreServersThanItsRouteAllows) {
  TryPlan plan({true, 2});
  EXPECT_EQ(plan.Next(TryOutcome::kLost), NextStep::kTryAnother);
  EXPECT_EQ(plan.Next(TryOutcome::kLost), NextStep::kGiveUp);
}

TEST(TryPlan, TheLastFailureOfAServerGoesOnToTheCaller) {
  TryPlan plan({true, 2});
  EXPECT_EQ(plan.Next(TryOutcome::kFailed), NextStep::kTryAnother);
  EXPECT_EQ(plan.Next(TryOutcome::kFailed), NextStep::kPassOn);
}

RC_GTEST_PROP(TryPlan,
              ARefusalIsTrueAndNothingRunsTooOften,
              (bool repeatable)) {
  const auto max_runs = *rc::gen::inRange<std::size_t>(1, 4);
  TryPlan plan({repeatable, max_runs});
  std::size_t runs = 0;
  NextStep step = NextStep::kTryAnother;
  while (step == NextStep::kTryAnother) {
    const auto end =
        *rc::gen::element(TryOutcome::kNotSent, TryOutcome::kNotRun,
                          TryOutcome::kLost, TryOutcome::kFailed);
    runs += end == TryOutcome::kLost || end == TryOutcome::kFailed ? 1 : 0;
    step = plan.Next(end);
  }
  RC_ASSERT(runs <= (repeatable ? max_runs : 1));
  RC_ASSERT(step != NextStep::kRefuse || runs == 0);
}

}  // namespace
}  // namespace tamarackwing::policy
