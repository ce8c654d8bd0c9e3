#include "tamarackwing/policy/retry_budget.h"

#include <algorithm>

namespace tamarackwing::policy {
namespace {

constexpr std::uint64_t kRetryCost = 100;

}  // namespace

RetryBudget::RetryBudget(std::uint32_t percent, std::uint32_t reserve)
    : percent(percent),
      max_hundredths(reserve * kRetryCost),
      hundredths(reserve * kRetryCost) {}

void RetryBudget::NoteRequest() {
  this->hundredths =
      std::min(this->hundredths + this->percent, this->max_hundredths);
}

bool RetryBudget::TryRetry() {
  if (this->hundredths < kRetryCost) {
    return false;
  }
  this->hundredths -= kRetryCost;
  return true;
}

}  // namespace tamarackwing::policy
