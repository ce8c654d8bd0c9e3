#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::gateway {

//! The answer of a backend server to an operation.
struct OperationAnswer {
  unsigned status = 0;
  std::string content_type;
  std::string body;
};

//! What the ledger says to a request to run an operation.
enum class PermitKind {
  //! This host, and no other ever, may send the operation.
  kGranted,
  //! It was sent and has not been answered.
  kInProgress,
  //! It was answered; the answer is given.
  kAnswered,
  //! It was sent and its outcome is lost.
  kUnknown,
  //! The ledger can't take it now; nothing ran for this request.
  kUnavailable,
  //! The ledger is full; nothing ran for this request.
  kFull,
};

//! The ledger's word.
struct Permit {
  PermitKind kind = PermitKind::kUnavailable;
  OperationAnswer answer;
};

//! Interface: the ledgers of operations that may run at most once.
//! Thread safety: every method is callable from any thread.
class OperationPermits {
 public:
  using Callback = std::function<void(Permit)>;

  virtual ~OperationPermits() = default;
  //! Asks the ledger of `region`; `callback` is called once, from any thread.
  virtual void Request(const RegionName& region,
                       const OperationId& operation,
                       Callback callback) = 0;
  //! Says that a granted operation was not sent and never will be by this
  //! grant.
  virtual void Release(const RegionName& region,
                       const OperationId& operation) = 0;
  //! Stores the answer to a granted operation.
  virtual void Answer(const RegionName& region,
                      const OperationId& operation,
                      const OperationAnswer& answer) = 0;
  //! Says that a granted operation was sent and its outcome is lost.
  virtual void Lose(const RegionName& region, const OperationId& operation) = 0;
};

}  // namespace tamarackwing::gateway
