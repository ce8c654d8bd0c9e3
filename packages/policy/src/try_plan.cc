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
  if (this->MayTry(this->tries, this->runs)) {
    return NextStep::kTryAnother;
  }
  return outcome == TryOutcome::kFailed ? NextStep::kPassOn : this->Stop();
}

bool TryPlan::MayFollowLoss() const {
  return this->MayTry(this->tries + 1, this->runs + 1);
}

bool TryPlan::MayTry(std::size_t after_tries, std::size_t after_runs) const {
  const bool may_run_again =
      after_runs == 0 ||
      (this->rules.repeatable && after_runs < this->rules.max_runs);
  return may_run_again && after_tries < this->rules.max_runs + kMaxExtraTries;
}

NextStep TryPlan::Stop() const {
  return this->MayHaveRun() ? NextStep::kGiveUp : NextStep::kRefuse;
}

}  // namespace tamarackwing::policy
