#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

//! State of an operation in the ledger.
enum class OperationState {
  //! One host has permission to run it, and may have done so.
  kGranted,
  //! It ran, and its response is recorded.
  kAnswered,
  //! It ran or may have run; its outcome is unknown.
  kUnknown,
  //! The grant was returned unused; the operation may be granted again.
  kReleased,
};

//! A response stored to be returned to resent requests.
struct StoredAnswer {
  unsigned status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

//! Identifies a permit request by the requesting process and a number that is
//! unique within it.
struct PermitRequestId {
  HostName host;
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;

  friend auto operator<=>(const PermitRequestId&,
                          const PermitRequestId&) = default;
};

//! Ledger record of one operation. Identifies the request by a digest; never
//! holds the request itself.
struct OperationRecord {
  OperationId operation;
  OperationState state = OperationState::kGranted;
  //! The permit request that holds, or held, the grant.
  PermitRequestId holder;
  StoredAnswer answer;

  friend bool operator==(const OperationRecord&,
                         const OperationRecord&) = default;
};

//! Requests the coordinator's permission to run an operation, which is granted
//! to one request only.
struct PermitRequest {
  PermitRequestId id;
  OperationId operation;
};

//! Result of a permit request.
enum class PermitVerdict {
  //! The requester may run the operation.
  kGranted,
  //! Another request holds the grant.
  kInProgress,
  //! The operation already ran; the reply holds its response.
  kAnswered,
  //! The operation ran or may have run; its outcome is unknown.
  kUnknown,
  //! The ledger cannot grant permits now.
  kUnavailable,
  //! The ledger has no room for new operations.
  kFull
};

//! The coordinator's reply to a permit request.
struct PermitReply {
  PermitRequestId id;
  PermitVerdict verdict = PermitVerdict::kUnavailable;
  StoredAnswer answer;
};

//! Reports the outcome of a granted operation; the holder resends it until it
//! is acknowledged.
struct LedgerUpdate {
  PermitRequestId id;
  OperationId operation;
  OperationState state = OperationState::kUnknown;
  StoredAnswer answer;
};

//! Acknowledges a LedgerUpdate.
struct LedgerUpdated {
  PermitRequestId id;
};

//! Replicates a record from the coordinator to a member.
struct LedgerStore {
  RegionName region;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  OperationRecord record;
};

//! Acknowledges a LedgerStore: the member holds the record, on disk if it has
//! one.
struct LedgerStored {
  RegionName region;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

//! Part number `part`, of `parts`, of the complete ledger, which the
//! coordinator copies to the members at the start of a view.
struct LedgerCopy {
  RegionName region;
  std::uint64_t epoch = 0;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::vector<OperationRecord> records;
};

//! Acknowledges one part of a LedgerCopy.
struct LedgerCopied {
  RegionName region;
  std::uint64_t epoch = 0;
  std::uint32_t part = 0;
};

//! A message between hosts about the operation ledger.
using LedgerMessage = std::variant<PermitRequest,
                                   PermitReply,
                                   LedgerUpdate,
                                   LedgerUpdated,
                                   LedgerStore,
                                   LedgerStored,
                                   LedgerCopy,
                                   LedgerCopied>;

}  // namespace tamarackwing::state
