#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::gateway {

//! Response of a backend server to an operation.
struct OperationAnswer {
  unsigned status = 0;
  std::string content_type;
  std::string body;
};

//! Decision of the ledger on a request to run an operation.
enum class PermitKind {
  //! This host may send the operation; no other host may, unless this host
  //! releases the permit.
  kGranted,
  //! The operation was sent and its response has not arrived.
  kInProgress,
  //! The operation has completed; the stored response is returned.
  kAnswered,
  //! The operation was sent and its outcome can't be known any more.
  kUnknown,
  //! The ledger is unavailable; nothing ran for this request.
  kUnavailable,
  //! The ledger is full; nothing ran for this request.
  kFull,
};

//! Reply of the ledger to a permit request.
struct Permit {
  PermitKind kind = PermitKind::kUnavailable;
  //! Set for kAnswered.
  OperationAnswer answer;
};

//! Interface: client of the regions' ledgers of operations that run at most
//! once. Thread safety: every method is callable from any thread.
class OperationPermits {
 public:
  using Callback = std::function<void(Permit)>;

  virtual ~OperationPermits() = default;
  //! Requests a permit from the ledger of `region`; `callback` is called once,
  //! from any thread.
  virtual void Request(const RegionName& region,
                       const OperationId& operation,
                       Callback callback) = 0;
  //! Gives an unused permit back to the ledger, which may then grant the
  //! operation again. Precondition: the operation was not sent under this
  //! permit and will not be.
  virtual void Release(const RegionName& region,
                       const OperationId& operation) = 0;
  //! Stores the response to a granted operation.
  virtual void Answer(const RegionName& region,
                      const OperationId& operation,
                      const OperationAnswer& answer) = 0;
  //! Records that a granted operation was sent and its outcome is unknown.
  virtual void MarkUnknown(const RegionName& region,
                           const OperationId& operation) = 0;
};

}  // namespace tamarackwing::gateway
