#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

//! What is known of an operation.
enum class OperationState {
  //! One host may send it, or has.
  kGranted,
  //! It was sent and answered.
  kAnswered,
  //! It was sent, or may have been, and its outcome is lost.
  kUnknown,
  //! Its grant was given back unused: it may be granted again.
  kReleased,
};

//! The answer that a resend gets.
struct StoredAnswer {
  unsigned status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

//! One ask: by whom, and which of its asks.
struct PermitRequestId {
  HostName host;
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;

  friend auto operator<=>(const PermitRequestId&,
                          const PermitRequestId&) = default;
};

//! One operation of the ledger. Holds a digest, never the request.
struct OperationRecord {
  OperationId operation;
  OperationState state = OperationState::kGranted;
  //! Who holds, or held, the grant.
  PermitRequestId holder;
  StoredAnswer answer;

  friend bool operator==(const OperationRecord&,
                         const OperationRecord&) = default;
};

//! Asks the coordinator for the one permission to send an operation.
struct PermitRequest {
  PermitRequestId id;
  OperationId operation;
};

//! What an ask comes to.
enum class PermitVerdict {
  kGranted,
  kInProgress,
  kAnswered,
  kUnknown,
  kUnavailable,
  kFull
};

//! The coordinator's answer to an ask.
struct PermitReply {
  PermitRequestId id;
  PermitVerdict verdict = PermitVerdict::kUnavailable;
  StoredAnswer answer;
};

//! The holder of a grant says how it ended; repeated until it is taken.
struct LedgerUpdate {
  PermitRequestId id;
  OperationId operation;
  OperationState state = OperationState::kUnknown;
  StoredAnswer answer;
};

//! The coordinator has taken an update.
struct LedgerUpdated {
  PermitRequestId id;
};

//! A record that every member must hold.
struct LedgerStore {
  RegionName region;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  OperationRecord record;
};

//! A member holds a record, on its disk where it has one.
struct LedgerStored {
  RegionName region;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

//! The whole ledger, at the start of a view; `part` of `dependencies`.
struct LedgerCopy {
  RegionName region;
  std::uint64_t epoch = 0;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::vector<OperationRecord> records;
};

//! A member holds a part of the copy.
struct LedgerCopied {
  RegionName region;
  std::uint64_t epoch = 0;
  std::uint32_t part = 0;
};

//! What hosts tell each other about operations.
using LedgerMessage = std::variant<PermitRequest,
                                   PermitReply,
                                   LedgerUpdate,
                                   LedgerUpdated,
                                   LedgerStore,
                                   LedgerStored,
                                   LedgerCopy,
                                   LedgerCopied>;

}  // namespace tamarackwing::state
