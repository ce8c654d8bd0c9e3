#pragma once

#include <chrono>
#include <string_view>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing {

//! Why a request was not served.
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
  kQueueFull,
  kResidency,
  kTooLarge,
  kTooManyConnections,
  kTooSlow,
  kUnknownRoute,
};

//! Whether a refused request may have run on a backend server.
enum class Ran { kNo, kUnknown };

//! A refusal as the caller sees it.
struct Refusal {
  RefusalCode code = RefusalCode::kNotReady;
  Ran ran = Ran::kNo;
  //! When a new try may succeed; zero where waiting does not help.
  std::chrono::milliseconds retry_after{0};
  //! Hosts that would serve the request.
  std::vector<HostName> hosts;
};

//! The code's name on the wire, such as `over_budget`. Thread safety:
//! reentrant.
std::string_view RefusalName(RefusalCode code);

//! The HTTP status of a refusal. Thread safety: reentrant.
unsigned RefusalStatus(RefusalCode code);

//! A refusal of which it is certain that nothing ran. Thread safety: reentrant.
Refusal RefuseNotRun(
    RefusalCode code,
    std::chrono::milliseconds retry_after = std::chrono::milliseconds(0));

//! A refusal after bytes have left for a backend server.
//! Thread safety: reentrant.
Refusal RefuseOutcomeUnknown(RefusalCode code);

}  // namespace tamarackwing
