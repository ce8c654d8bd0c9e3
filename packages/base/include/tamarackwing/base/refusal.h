#pragma once

#include <chrono>
#include <string_view>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing {

//! The reason why a request was refused.
enum class RefusalCode {
  kBackendServerFailed,
  kDeadlineInvalid,
  kDeadlinePassed,
  kDeadlineUnreachable,
  kDraining,
  kIdempotencyKeyInvalid,
  kIdempotencyKeyMissing,
  kKeyInvalid,
  kKeyNotFresh,
  kKeyWithdrawn,
  kLedgerFull,
  kLedgerUnavailable,
  kLoop,
  kMalformedRequest,
  kNoBackendServer,
  kNotReady,
  kOperationInProgress,
  kOutcomeUnknown,
  kOverBudget,
  kQuarantined,
  kQueueFull,
  kResidency,
  kTooLarge,
  kTooManyConnections,
  kTooSlow,
  kUnknownRoute,
  kVersionGone,
};

//! Whether a refused request may have run on a backend server.
enum class Ran { kNo, kUnknown };

//! The refusal of a request, as reported to the caller.
struct Refusal {
  RefusalCode code = RefusalCode::kNotReady;
  Ran ran = Ran::kNo;
  //! Delay after which a retry may succeed; zero if waiting does not help.
  std::chrono::milliseconds retry_after{0};
  //! Hosts that the caller may try instead.
  std::vector<HostName> hosts;
};

//! Returns the code's name in responses and logs, such as `over_budget`.
//! Thread safety: reentrant.
std::string_view RefusalName(RefusalCode code);

//! Returns the HTTP status of a refusal. Thread safety: reentrant.
unsigned RefusalStatus(RefusalCode code);

//! Returns a refusal of a request that certainly did not run.
//! Thread safety: reentrant.
Refusal RefuseNotRun(
    RefusalCode code,
    std::chrono::milliseconds retry_after = std::chrono::milliseconds(0));

//! Returns a refusal of a request that may have run: bytes of it were sent to a
//! backend server, or the ledger holds its operation without a known outcome.
//! Thread safety: reentrant.
Refusal RefuseOutcomeUnknown(RefusalCode code);

}  // namespace tamarackwing
