#include "tamarackwing/policy/try_plan.h"

namespace tamarackwing::policy {
namespace {

//! Tries beyond those that may run: connections that are refused and servers
//! that reject cost little, but not nothing.
constexpr std::size_t kMaxVainTries = 3;

}  // namespace

TryPlan::TryPlan(TryRules rules) : rules(rules) {}

NextStep TryPlan::Next(TryOutcome end) {
  this->tries += 1;
  if (end != TryOutcome::kNotSent) {
    this->sends += 1;
  }
  if (end == TryOutcome::kLost || end == TryOutcome::kFailed ||
      end == TryOutcome::kServed) {
    this->runs += 1;
  }
  if (end == TryOutcome::kServed) {
    return NextStep::kPassOn;
  }
  const bool may_run_again =
      this->runs == 0 ||
      (this->rules.repeatable && this->runs < this->rules.max_runs);
  if (may_run_again && this->tries < this->rules.max_runs + kMaxVainTries) {
    return NextStep::kTryAnother;
  }
  return end == TryOutcome::kFailed ? NextStep::kPassOn : this->Stop();
}

NextStep TryPlan::Stop() const {
  return this->MayHaveRun() ? NextStep::kGiveUp : NextStep::kRefuse;
}

}  // namespace tamarackwing::policy
