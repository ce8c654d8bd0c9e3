#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/state/ledger_message.h"
#include "tamarackwing/state/region_view.h"

namespace tamarackwing::state {

//! Limits of a ledger.
struct LedgerOptions {
  //! Maximum number of operations. A full ledger refuses new ones; it never
  //! evicts a record before its retention has passed.
  std::size_t capacity = 1'000'000;
  //! How long a record is kept after this host last stored it. The record of a
  //! granted operation is never evicted.
  std::chrono::hours retention{24};
  //! Interval at which unacknowledged records and copies are resent.
  std::chrono::milliseconds resend{200};
  //! Maximum number of records in one LedgerCopy message.
  std::size_t records_per_copy = 256;
};

//! An outgoing message. The destination may be this host itself.
struct LedgerSend {
  HostName to;
  LedgerMessage message;
};

//! Records to write to disk. Once they are synced, the caller passes `ticket`
//! to OperationLedger::Persisted.
struct LedgerBatch {
  std::uint64_t ticket = 0;
  //! Whether the records replace all records written before.
  bool replaces_all = false;
  //! Epoch of which this host holds the complete ledger after this batch.
  std::uint64_t synced_epoch = 0;
  std::vector<OperationRecord> records;
};

//! Actions that the caller must carry out. Batches are written in order.
struct LedgerEffects {
  std::vector<LedgerSend> sends;
  std::vector<LedgerBatch> batches;
};

//! State of the ledger as recovered from disk after a restart.
struct RecoveredLedger {
  std::uint64_t synced_epoch = 0;
  std::vector<OperationRecord> records;
};

//! Reason why journal records could not be decoded.
enum class LedgerDecodeError { kMalformed };

//! One host's replica of a region's operation ledger, which records for each
//! operation which request was granted permission to run it, so that it runs at
//! most once. The coordinator grants a permit only after every member of the
//! view holds the record. Performs no I/O. Not thread-safe.
class OperationLedger {
 public:
  //! Returns true if the process that holds a grant is still running.
  using IsAlive = std::function<bool(const PermitRequestId&)>;

  OperationLedger(HostName self,
                  std::uint64_t incarnation,
                  bool has_disk,
                  LedgerOptions options,
                  RecoveredLedger recovered,
                  IsAlive is_alive);

  //! Installs a view from the agreed log; one that is not newer is ignored. The
  //! new coordinator starts to copy its ledger to the other members.
  LedgerEffects SetView(const RegionView& view, TimePoint now);
  //! Handles a message from a member or from a requester of permits.
  LedgerEffects Receive(const HostName& from,
                        const LedgerMessage& message,
                        TimePoint now);
  //! Records that the batch with this ticket, and all earlier ones, are synced
  //! to disk.
  LedgerEffects Persisted(std::uint64_t ticket, TimePoint now);
  //! Resends unacknowledged messages and evicts records past their retention.
  LedgerEffects Tick(TimePoint now);

  //! Returns true if this host coordinates the view and every member has
  //! acknowledged the complete ledger.
  bool IsActive() const { return this->active; }
  //! Returns the latest epoch of which this host holds the complete ledger.
  std::uint64_t SyncedEpoch() const { return this->synced_epoch; }
  const RegionView& View() const { return this->view; }
  std::size_t Size() const { return this->records.size(); }
  //! Returns the record of an operation; null if there is none.
  const OperationRecord* Find(const OperationId& operation) const;

 private:
  struct HeldRecord {
    OperationRecord record;
    //! When this host last stored the record. Unset after recovery from disk,
    //! until this host coordinates a view or receives the record again; such a
    //! record is not evicted.
    TimePoint stored_at;
  };
  //! A record that is being replicated to the members.
  struct PendingStore {
    LedgerStore store;
    //! Members that have not acknowledged the record.
    std::set<HostName> unacked;
    //! Whether the record is on this host's disk, if it has one.
    bool on_disk = false;
    //! Permit requests and updates to reply to once the record is replicated.
    std::vector<PermitRequestId> requests;
    std::vector<PermitRequestId> updates;
    TimePoint sent;
  };
  //! A message held back until the batch with this ticket is on disk.
  struct DeferredSend {
    std::uint64_t ticket = 0;
    LedgerSend send;
  };

  void HandlePermitRequest(const PermitRequest& request,
                           TimePoint now,
                           LedgerEffects& effects);
  void HandleUpdate(const LedgerUpdate& update,
                    TimePoint now,
                    LedgerEffects& effects);
  void HandleStore(const HostName& from,
                   const LedgerStore& store,
                   TimePoint now,
                   LedgerEffects& effects);
  void HandleStored(const HostName& from,
                    const LedgerStored& stored,
                    LedgerEffects& effects);
  void HandleCopy(const HostName& from,
                  const LedgerCopy& copy,
                  TimePoint now,
                  LedgerEffects& effects);
  void HandleCopied(const HostName& from,
                    const LedgerCopied& copied,
                    LedgerEffects& effects);

  //! Stores a record locally and starts to replicate it to the other members.
  PendingStore& Store(OperationRecord record,
                      TimePoint now,
                      LedgerEffects& effects);
  void SendStore(PendingStore& entry, TimePoint now, LedgerEffects& effects);
  //! Sends the replies for records that are fully replicated.
  void FinishStored(LedgerEffects& effects);
  //! Sends each member the parts of the copy that it has not acknowledged.
  void SendCopies(TimePoint now, LedgerEffects& effects);
  void ActivateWhenCopied();
  void SetRecord(const OperationRecord& record, TimePoint now);
  void SendReply(const PermitRequestId& id,
                 const OperationRecord& record,
                 LedgerEffects& effects) const;
  static void Refuse(const PermitRequestId& id,
                     PermitVerdict verdict,
                     LedgerEffects& effects);
  //! Adds a batch and returns its ticket; zero on a host without a disk.
  std::uint64_t Write(std::vector<OperationRecord> written,
                      bool replaces_all,
                      LedgerEffects& effects);
  //! Sends a message once the batch with this ticket is on disk; at once on a
  //! host without a disk.
  void SendOnceWritten(std::uint64_t ticket,
                       LedgerSend send,
                       LedgerEffects& effects);
  std::set<HostName> OtherMembers() const;
  bool HasDiskMember() const;

  HostName self;
  std::uint64_t incarnation;
  bool has_disk;
  LedgerOptions options;
  IsAlive is_alive;

  RegionView view;
  bool active = false;
  std::uint64_t synced_epoch = 0;
  std::map<OperationId, HeldRecord> records;
  //! Next time at which Tick evicts old records.
  TimePoint evict_at;

  std::uint64_t next_sequence = 1;
  //! Records being replicated, by sequence number.
  std::map<std::uint64_t, PendingStore> pending_stores;
  std::map<OperationId, std::uint64_t> pending_store_of;

  //! Parts of the copy that the coordinator sends at the start of a view.
  std::vector<LedgerCopy> copy_parts;
  //! Parts that each member has not acknowledged.
  std::map<HostName, std::set<std::uint32_t>> copy_unacked;
  TimePoint copy_sent;
  //! Parts of the copy that a member has received, for `received_epoch`.
  std::map<std::uint32_t, std::vector<OperationRecord>> received_parts;
  std::uint64_t received_epoch = 0;

  std::uint64_t next_ticket = 1;
  std::uint64_t persisted_ticket = 0;
  //! Sequence numbers of the pending records in batches not yet synced.
  std::map<std::uint64_t, std::uint64_t> sequence_of_ticket;
  std::vector<DeferredSend> deferred_sends;
};

//! Encodes a ledger batch as a journal record. Thread safety: reentrant.
std::string EncodeLedgerBatch(const LedgerBatch& batch);

//! Decodes the ledger from the records of its journal. Errors: kMalformed.
//! Thread safety: reentrant.
Expected<RecoveredLedger, LedgerDecodeError> DecodeLedger(
    const std::vector<std::string>& records);

}  // namespace tamarackwing::state
