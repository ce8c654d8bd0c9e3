#include "tamarackwing/policy/retry_budget.h"

#include <algorithm>

namespace tamarackwing::policy {
namespace {

//! In hundredths of a retry.
constexpr std::uint64_t kRetryCost = 100;

}  // namespace

RetryBudget::RetryBudget(std::uint32_t percent, std::uint32_t reserve)
    : percent(percent),
      max_credit(reserve * kRetryCost),
      credit(reserve * kRetryCost) {}

void RetryBudget::NoteRequest() {
  this->credit = std::min(this->credit + this->percent, this->max_credit);
}

bool RetryBudget::TryRetry() {
  if (this->credit < kRetryCost) {
    return false;
  }
  this->credit -= kRetryCost;
  return true;
}

}  // namespace tamarackwing::policy
