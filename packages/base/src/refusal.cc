#include "tamarackwing/base/refusal.h"

#include <array>
#include <cstddef>

namespace tamarackwing {
namespace {

struct RefusalInfo {
  RefusalCode code;
  std::string_view name;
  unsigned status;
};

constexpr std::array kRefusals = {
    RefusalInfo{RefusalCode::kBackendServerFailed, "backend_server_failed",
                502},
    RefusalInfo{RefusalCode::kDeadlineInvalid, "deadline_invalid", 400},
    RefusalInfo{RefusalCode::kDeadlinePassed, "deadline_passed", 504},
    RefusalInfo{RefusalCode::kDeadlineUnreachable, "deadline_unreachable", 503},
    RefusalInfo{RefusalCode::kDraining, "draining", 503},
    RefusalInfo{RefusalCode::kIdempotencyKeyInvalid, "idempotency_key_invalid",
                400},
    RefusalInfo{RefusalCode::kIdempotencyKeyMissing, "idempotency_key_missing",
                400},
    RefusalInfo{RefusalCode::kKeyInvalid, "key_invalid", 401},
    RefusalInfo{RefusalCode::kKeyNotFresh, "key_not_fresh", 503},
    RefusalInfo{RefusalCode::kKeyWithdrawn, "key_withdrawn", 401},
    RefusalInfo{RefusalCode::kLedgerFull, "ledger_full", 503},
    RefusalInfo{RefusalCode::kLedgerUnavailable, "ledger_unavailable", 503},
    RefusalInfo{RefusalCode::kLoop, "loop", 508},
    RefusalInfo{RefusalCode::kMalformedRequest, "malformed_request", 400},
    RefusalInfo{RefusalCode::kNoBackendServer, "no_backend_server", 503},
    RefusalInfo{RefusalCode::kNotReady, "not_ready", 503},
    RefusalInfo{RefusalCode::kOperationInProgress, "operation_in_progress",
                409},
    RefusalInfo{RefusalCode::kOutcomeUnknown, "outcome_unknown", 409},
    RefusalInfo{RefusalCode::kOverBudget, "over_budget", 429},
    RefusalInfo{RefusalCode::kQuarantined, "quarantined", 503},
    RefusalInfo{RefusalCode::kQueueFull, "queue_full", 503},
    RefusalInfo{RefusalCode::kResidency, "residency", 403},
    RefusalInfo{RefusalCode::kTooLarge, "too_large", 413},
    RefusalInfo{RefusalCode::kTooManyConnections, "too_many_connections", 503},
    RefusalInfo{RefusalCode::kTooSlow, "too_slow", 408},
    RefusalInfo{RefusalCode::kUnknownRoute, "unknown_route", 404},
    RefusalInfo{RefusalCode::kVersionGone, "version_gone", 503},
};

const RefusalInfo& Find(RefusalCode code) {
  return kRefusals[static_cast<std::size_t>(code)];
}

constexpr bool IsIndexedByCode() {
  for (std::size_t i = 0; i < kRefusals.size(); ++i) {
    if (static_cast<std::size_t>(kRefusals[i].code) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsIndexedByCode(), "kRefusals must be indexed by RefusalCode");

}  // namespace

std::string_view RefusalName(RefusalCode code) {
  return Find(code).name;
}

unsigned RefusalStatus(RefusalCode code) {
  return Find(code).status;
}

Refusal RefuseNotRun(RefusalCode code, std::chrono::milliseconds retry_after) {
  Refusal refusal;
  refusal.code = code;
  refusal.retry_after = retry_after;
  return refusal;
}

Refusal RefuseOutcomeUnknown(RefusalCode code) {
  Refusal refusal;
  refusal.code = code;
  refusal.ran = Ran::kUnknown;
  return refusal;
}

}  // namespace tamarackwing
