#include "tamarackwing/policy/try_plan.h"

namespace tamarackwing::policy {
namespace {

//! Tries permitted in addition to `max_runs`: refused connections and servers
//! that reject a request cost little, but not nothing.
constexpr std::size_t kMaxExtraTries = 3;

}  // namespace

TryPlan::TryPlan(TryRules rules) : rules(rules) {}

NextStep TryPlan::Next(TryOutcome outcome) {
  this->tries += 1;
  if (outcome != TryOutcome::kNotSent) {
    this->sends += 1;
  }
  if (outcome == TryOutcome::kLost || outcome == TryOutcome::kFailed ||
      outcome == TryOutcome::kServed) {
    this->runs += 1;
  }
  if (outcome == TryOutcome::kServed) {
    return NextStep::kPassOn;
  }
  const bool may_run_again =
      this->runs == 0 ||
      (this->rules.repeatable && this->runs < this->rules.max_runs);
  if (may_run_again && this->tries < this->rules.max_runs + kMaxExtraTries) {
    return NextStep::kTryAnother;
  }
  return outcome == TryOutcome::kFailed ? NextStep::kPassOn : this->Stop();
}

NextStep TryPlan::Stop() const {
  return this->MayHaveRun() ? NextStep::kGiveUp : NextStep::kRefuse;
}

}  // namespace tamarackwing::policy
