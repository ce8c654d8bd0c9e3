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

//! Bounds of a ledger.
struct LedgerOptions {
  //! Operations held; a full ledger refuses new ones and drops none early.
  std::size_t capacity = 1'000'000;
  //! How long an operation that has ended is remembered.
  std::chrono::hours retention{24};
  //! How often what has no answer is sent again.
  std::chrono::milliseconds resend{200};
  std::size_t records_per_copy = 256;
};

//! A message to a host; to this one too.
struct LedgerSend {
  HostName to;
  LedgerMessage message;
};

//! Records that must be on disk before a ticket is given back.
struct LedgerBatch {
  std::uint64_t ticket = 0;
  //! Whether the records take the place of all that were there.
  bool replaces_all = false;
  std::uint64_t synced_epoch = 0;
  std::vector<OperationRecord> records;
};

//! What the ledger wants done.
struct LedgerEffects {
  std::vector<LedgerSend> sends;
  std::vector<LedgerBatch> batches;
};

//! What a host reads back from its disk.
struct RecoveredLedger {
  std::uint64_t synced_epoch = 0;
  std::vector<OperationRecord> records;
};

//! Why journal records are no ledger.
enum class LedgerDecodeError { kMalformed };

//! The ledger of one region as one of its hosts keeps it: who was ever allowed
//! to send which operation. A permit is given only once every member of the
//! view holds its record. Pure; not thread-safe.
class OperationLedger {
 public:
  //! Whether the process that holds a grant still runs.
  using IsAlive = std::function<bool(const PermitRequestId&)>;

  OperationLedger(HostName self,
                  std::uint64_t incarnation,
                  bool has_disk,
                  LedgerOptions options,
                  RecoveredLedger recovered,
                  IsAlive is_alive);

  //! Takes a view from the agreed log.
  LedgerEffects SetView(const RegionView& view, TimePoint now);
  //! Takes a message from a member or an asker.
  LedgerEffects Receive(const HostName& from,
                        const LedgerMessage& message,
                        TimePoint now);
  //! Says that a batch, and every one before it, is on disk.
  LedgerEffects Persisted(std::uint64_t ticket, TimePoint now);
  //! Sends again what has no answer and forgets what is old.
  LedgerEffects Tick(TimePoint now);

  //! Whether this host coordinates the view and every member is in step.
  bool IsActive() const { return this->active; }
  //! The last epoch of which this host holds the whole ledger.
  std::uint64_t SyncedEpoch() const { return this->synced_epoch; }
  const RegionView& View() const { return this->view; }
  std::size_t Size() const { return this->records.size(); }
  //! What is known of an operation; null where nothing is.
  const OperationRecord* Find(const OperationId& operation) const;

 private:
  struct Held {
    OperationRecord record;
    TimePoint since;
  };
  //! A record on its way to the members.
  struct Storing {
    LedgerStore store;
    std::set<HostName> missing;
    bool on_disk = false;
    std::vector<PermitRequestId> asks;
    std::vector<PermitRequestId> updates;
    TimePoint sent;
  };
  struct WaitingSend {
    std::uint64_t ticket = 0;
    LedgerSend send;
  };

  void HandlePermitRequest(const PermitRequest& ask,
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

  Storing& Store(OperationRecord record, TimePoint now, LedgerEffects& effects);
  void SendStore(Storing& storing, TimePoint now, LedgerEffects& effects);
  void FinishStored(LedgerEffects& effects);
  void SendCopies(TimePoint now, LedgerEffects& effects);
  void ActivateWhenCopied();
  void Keep(const OperationRecord& record, TimePoint now);
  void Answer(const PermitRequestId& id,
              const OperationRecord& record,
              LedgerEffects& effects) const;
  static void Refuse(const PermitRequestId& id,
                     PermitVerdict verdict,
                     LedgerEffects& effects);
  std::uint64_t Write(std::vector<OperationRecord> written,
                      bool replaces_all,
                      LedgerEffects& effects);
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
  std::map<OperationId, Held> records;
  TimePoint forget_at;

  std::uint64_t next_sequence = 1;
  std::map<std::uint64_t, Storing> storing;
  std::map<OperationId, std::uint64_t> storing_of;

  std::vector<LedgerCopy> copy_parts;
  std::map<HostName, std::set<std::uint32_t>> copy_missing;
  TimePoint copy_sent;
  std::map<std::uint32_t, std::vector<OperationRecord>> received_parts;
  std::uint64_t received_epoch = 0;

  std::uint64_t next_ticket = 1;
  std::uint64_t persisted_ticket = 0;
  std::map<std::uint64_t, std::uint64_t> sequence_of_ticket;
  std::vector<WaitingSend> waiting;
};

//! A ledger batch as a journal record. Thread safety: reentrant.
std::string EncodeLedgerBatch(const LedgerBatch& batch);

//! Reads the journal's records. Thread safety: reentrant.
Expected<RecoveredLedger, LedgerDecodeError> DecodeLedger(
    const std::vector<std::string>& records);

}  // namespace tamarackwing::state
