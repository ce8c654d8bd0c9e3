#include "tamarackwing/base/refusal.h"

#include <array>
#include <cstddef>

namespace tamarackwing {
namespace {

struct RefusalText {
  RefusalCode code;
  std::string_view name;
  unsigned status;
};

constexpr std::array kRefusals = {
    RefusalText{RefusalCode::kBackendServerFailed, "backend_server_failed",
                502},
    RefusalText{RefusalCode::kDeadlineInvalid, "deadline_invalid", 400},
    RefusalText{RefusalCode::kDeadlinePassed, "deadline_passed", 504},
    RefusalText{RefusalCode::kDeadlineUnreachable, "deadline_unreachable", 503},
    RefusalText{RefusalCode::kDraining, "draining", 503},
    RefusalText{RefusalCode::kIdempotencyKeyInvalid, "idempotency_key_invalid",
                400},
    RefusalText{RefusalCode::kIdempotencyKeyMissing, "idempotency_key_missing",
                400},
    RefusalText{RefusalCode::kKeyInvalid, "key_invalid", 401},
    RefusalText{RefusalCode::kKeyNotFresh, "key_not_fresh", 503},
    RefusalText{RefusalCode::kKeyWithdrawn, "key_withdrawn", 401},
    RefusalText{RefusalCode::kLedgerFull, "ledger_full", 503},
    RefusalText{RefusalCode::kLedgerUnavailable, "ledger_unavailable", 503},
    RefusalText{RefusalCode::kLoop, "loop", 508},
    RefusalText{RefusalCode::kMalformedRequest, "malformed_request", 400},
    RefusalText{RefusalCode::kNoBackendServer, "no_backend_server", 503},
    RefusalText{RefusalCode::kNotReady, "not_ready", 503},
    RefusalText{RefusalCode::kOperationInProgress, "operation_in_progress",
                409},
    RefusalText{RefusalCode::kOutcomeUnknown, "outcome_unknown", 409},
    RefusalText{RefusalCode::kOverBudget, "over_budget", 429},
    RefusalText{RefusalCode::kQueueFull, "queue_full", 503},
    RefusalText{RefusalCode::kResidency, "residency", 403},
    RefusalText{RefusalCode::kTooLarge, "too_large", 413},
    RefusalText{RefusalCode::kTooManyConnections, "too_many_connections", 503},
    RefusalText{RefusalCode::kTooSlow, "too_slow", 408},
    RefusalText{RefusalCode::kUnknownRoute, "unknown_route", 404},
};

const RefusalText& Find(RefusalCode code) {
  return kRefusals[static_cast<std::size_t>(code)];
}

constexpr bool InOrder() {
  for (std::size_t i = 0; i < kRefusals.size(); ++i) {
    if (static_cast<std::size_t>(kRefusals[i].code) != i) {
      return false;
    }
  }
  return true;
}
static_assert(InOrder(), "the table is indexed by the code");

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
