#include "tamarackwing/policy/retry_budget.h"

#include <gtest/gtest.h>

namespace tamarackwing::policy {
namespace {

TEST(RetryBudget, RetriesStayWithinTheirPercentageOfRequests) {
  RetryBudget budget(10, 5);
  int retries = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.NoteRequest();
    retries += budget.TryRetry() ? 1 : 0;
  }
  EXPECT_LE(retries, 105);
  EXPECT_GE(retries, 100);
}

}  // namespace
}  // namespace tamarackwing::policy
