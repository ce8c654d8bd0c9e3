#include "tamarackwing/state/operation_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "internal/json_codec.h"

namespace tamarackwing::state {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PermitRequestId, host, incarnation, number)

namespace {

constexpr std::chrono::minutes kEvictionInterval{1};

}  // namespace

OperationLedger::OperationLedger(HostName self,
                                 std::uint64_t incarnation,
                                 bool has_disk,
                                 LedgerOptions options,
                                 RecoveredLedger recovered,
                                 IsAlive is_alive)
    : self(std::move(self)),
      incarnation(incarnation),
      has_disk(has_disk),
      options(options),
      is_alive(std::move(is_alive)),
      synced_epoch(recovered.synced_epoch) {
  for (OperationRecord& record : recovered.records) {
    const OperationId operation = record.operation;
    this->records[operation] = {std::move(record), TimePoint()};
  }
}

LedgerEffects OperationLedger::SetView(const RegionView& newer, TimePoint now) {
  LedgerEffects effects;
  if (newer.epoch <= this->view.epoch) {
    return effects;
  }
  this->view = newer;
  this->active = false;
  this->pending_stores.clear();
  this->pending_store_of.clear();
  this->sequence_of_ticket.clear();
  this->copy_parts.clear();
  this->copy_unacked.clear();
  this->received_parts.clear();
  const bool coordinates = this->view.coordinator == this->self &&
                           this->synced_epoch >= this->view.base_epoch;
  if (!coordinates) {
    return effects;
  }
  this->synced_epoch = this->view.epoch;
  std::vector<OperationRecord> all;
  for (auto& [operation, held] : this->records) {
    if (held.stored_at == TimePoint()) {
      held.stored_at = now;
    }
    all.push_back(held.record);
  }
  this->Write({}, false, effects);
  const std::size_t per_part = this->options.records_per_copy;
  const std::size_t parts =
      std::max<std::size_t>(1, (all.size() + per_part - 1) / per_part);
  for (std::size_t part = 0; part < parts; ++part) {
    LedgerCopy copy{this->view.region,
                    this->view.epoch,
                    static_cast<std::uint32_t>(part),
                    static_cast<std::uint32_t>(parts),
                    {}};
    const std::size_t end = std::min(all.size(), (part + 1) * per_part);
    for (std::size_t i = part * per_part; i < end; ++i) {
      copy.records.push_back(std::move(all[i]));
    }
    for (const HostName& host : this->OtherMembers()) {
      this->copy_unacked[host].insert(copy.part);
    }
    this->copy_parts.push_back(std::move(copy));
  }
  this->SendCopies(now, effects);
  this->ActivateWhenCopied();
  return effects;
}

LedgerEffects OperationLedger::Receive(const HostName& from,
                                       const LedgerMessage& message,
                                       TimePoint now) {
  LedgerEffects effects;
  if (const auto* request = std::get_if<PermitRequest>(&message)) {
    this->HandlePermitRequest(*request, now, effects);
  } else if (const auto* update = std::get_if<LedgerUpdate>(&message)) {
    this->HandleUpdate(*update, now, effects);
  } else if (const auto* store = std::get_if<LedgerStore>(&message)) {
    this->HandleStore(from, *store, now, effects);
  } else if (const auto* stored = std::get_if<LedgerStored>(&message)) {
    this->HandleStored(from, *stored, effects);
  } else if (const auto* copy = std::get_if<LedgerCopy>(&message)) {
    this->HandleCopy(from, *copy, now, effects);
  } else if (const auto* copied = std::get_if<LedgerCopied>(&message)) {
    this->HandleCopied(from, *copied, effects);
  }
  return effects;
}

LedgerEffects OperationLedger::Persisted(std::uint64_t ticket, TimePoint) {
  LedgerEffects effects;
  this->persisted_ticket = std::max(this->persisted_ticket, ticket);
  while (!this->sequence_of_ticket.empty() &&
         this->sequence_of_ticket.begin()->first <= this->persisted_ticket) {
    const auto entry =
        this->pending_stores.find(this->sequence_of_ticket.begin()->second);
    if (entry != this->pending_stores.end()) {
      entry->second.on_disk = true;
    }
    this->sequence_of_ticket.erase(this->sequence_of_ticket.begin());
  }
  for (DeferredSend& deferred : this->deferred_sends) {
    if (deferred.ticket <= this->persisted_ticket) {
      effects.sends.push_back(std::move(deferred.send));
    }
  }
  std::erase_if(this->deferred_sends, [&](const DeferredSend& deferred) {
    return deferred.ticket <= this->persisted_ticket;
  });
  this->FinishStored(effects);
  return effects;
}

LedgerEffects OperationLedger::Tick(TimePoint now) {
  LedgerEffects effects;
  if (!this->copy_unacked.empty() &&
      now - this->copy_sent >= this->options.resend) {
    this->SendCopies(now, effects);
  }
  for (auto& [sequence, entry] : this->pending_stores) {
    if (now - entry.sent >= this->options.resend) {
      this->SendStore(entry, now, effects);
    }
  }
  if (now < this->evict_at) {
    return effects;
  }
  this->evict_at = now + kEvictionInterval;
  std::erase_if(this->records, [&](const auto& entry) {
    const HeldRecord& held = entry.second;
    return held.stored_at != TimePoint() &&
           held.record.state != OperationState::kGranted &&
           now - held.stored_at > this->options.retention;
  });
  return effects;
}

const OperationRecord* OperationLedger::Find(
    const OperationId& operation) const {
  const auto found = this->records.find(operation);
  return found == this->records.end() ? nullptr : &found->second.record;
}

void OperationLedger::HandlePermitRequest(const PermitRequest& request,
                                          TimePoint now,
                                          LedgerEffects& effects) {
  if (!this->active) {
    // Send no reply: the requester resends, and by then all members may hold
    // the complete ledger.
    return;
  }
  if (!this->HasDiskMember()) {
    Refuse(request.id, PermitVerdict::kUnavailable, effects);
    return;
  }
  const auto pending = this->pending_store_of.find(request.operation);
  if (pending != this->pending_store_of.end()) {
    PendingStore& entry = this->pending_stores.at(pending->second);
    const bool is_holder = entry.store.record.holder == request.id &&
                           entry.store.record.state == OperationState::kGranted;
    // Another request gets its reply once the record is fully replicated.
    if (!is_holder || entry.requests.empty()) {
      entry.requests.push_back(request.id);
    }
    return;
  }
  const auto known = this->records.find(request.operation);
  const bool is_free = known == this->records.end() ||
                       known->second.record.state == OperationState::kReleased;
  if (!is_free) {
    OperationRecord& record = known->second.record;
    const bool holder_failed = record.state == OperationState::kGranted &&
                               !this->is_alive(record.holder);
    if (holder_failed) {
      record.state = OperationState::kUnknown;
    }
    this->SendReply(request.id, record, effects);
    return;
  }
  if (known == this->records.end() &&
      this->records.size() >= this->options.capacity) {
    Refuse(request.id, PermitVerdict::kFull, effects);
    return;
  }
  OperationRecord record;
  record.operation = request.operation;
  record.holder = request.id;
  PendingStore& entry = this->Store(std::move(record), now, effects);
  entry.requests.push_back(request.id);
  this->FinishStored(effects);
}

void OperationLedger::HandleUpdate(const LedgerUpdate& update,
                                   TimePoint now,
                                   LedgerEffects& effects) {
  if (!this->active) {
    return;
  }
  if (this->pending_store_of.contains(update.operation)) {
    // The holder resends the update; by then the record may be fully
    // replicated.
    return;
  }
  const auto known = this->records.find(update.operation);
  const bool is_open =
      known != this->records.end() &&
      known->second.record.holder == update.id &&
      known->second.record.state != OperationState::kAnswered &&
      known->second.record.state != OperationState::kReleased;
  if (!is_open) {
    effects.sends.push_back({update.id.host, LedgerUpdated{update.id}});
    return;
  }
  OperationRecord record = known->second.record;
  record.state = update.state;
  record.answer = update.answer;
  PendingStore& entry = this->Store(std::move(record), now, effects);
  entry.updates.push_back(update.id);
  this->FinishStored(effects);
}

void OperationLedger::HandleStore(const HostName& from,
                                  const LedgerStore& store,
                                  TimePoint now,
                                  LedgerEffects& effects) {
  const bool is_current = store.epoch == this->view.epoch &&
                          from == this->view.coordinator &&
                          this->synced_epoch == this->view.epoch;
  if (!is_current) {
    return;
  }
  this->SetRecord(store.record, now);
  const std::uint64_t ticket = this->Write({store.record}, false, effects);
  this->SendOnceWritten(
      ticket, {from, LedgerStored{store.region, store.epoch, store.sequence}},
      effects);
}

void OperationLedger::HandleStored(const HostName& from,
                                   const LedgerStored& stored,
                                   LedgerEffects& effects) {
  const auto entry = this->pending_stores.find(stored.sequence);
  if (stored.epoch != this->view.epoch || entry == this->pending_stores.end()) {
    return;
  }
  entry->second.unacked.erase(from);
  this->FinishStored(effects);
}

void OperationLedger::HandleCopy(const HostName& from,
                                 const LedgerCopy& copy,
                                 TimePoint now,
                                 LedgerEffects& effects) {
  const bool is_current =
      copy.epoch == this->view.epoch && from == this->view.coordinator;
  if (!is_current) {
    return;
  }
  const LedgerCopied copied{copy.region, copy.epoch, copy.part};
  if (this->synced_epoch == copy.epoch) {
    this->SendOnceWritten(this->next_ticket - 1, {from, copied}, effects);
    return;
  }
  if (this->received_epoch != copy.epoch) {
    this->received_parts.clear();
    this->received_epoch = copy.epoch;
  }
  this->received_parts[copy.part] = copy.records;
  if (this->received_parts.size() < copy.parts) {
    effects.sends.push_back({from, copied});
    return;
  }
  this->records.clear();
  std::vector<OperationRecord> all;
  for (auto& [part, part_records] : this->received_parts) {
    for (OperationRecord& record : part_records) {
      this->SetRecord(record, now);
      all.push_back(std::move(record));
    }
  }
  this->received_parts.clear();
  this->synced_epoch = copy.epoch;
  const std::uint64_t ticket = this->Write(std::move(all), true, effects);
  this->SendOnceWritten(ticket, {from, copied}, effects);
}

void OperationLedger::HandleCopied(const HostName& from,
                                   const LedgerCopied& copied,
                                   LedgerEffects&) {
  const auto unacked = this->copy_unacked.find(from);
  if (copied.epoch != this->view.epoch || unacked == this->copy_unacked.end()) {
    return;
  }
  unacked->second.erase(copied.part);
  if (unacked->second.empty()) {
    this->copy_unacked.erase(unacked);
  }
  this->ActivateWhenCopied();
}

OperationLedger::PendingStore& OperationLedger::Store(OperationRecord record,
                                                      TimePoint now,
                                                      LedgerEffects& effects) {
  const std::uint64_t sequence = this->next_sequence++;
  PendingStore& entry = this->pending_stores[sequence];
  this->pending_store_of[record.operation] = sequence;
  entry.store = {this->view.region, this->view.epoch, sequence, record};
  entry.unacked = this->OtherMembers();
  this->SetRecord(record, now);
  const std::uint64_t ticket = this->Write({std::move(record)}, false, effects);
  entry.on_disk = !this->has_disk;
  if (this->has_disk) {
    this->sequence_of_ticket[ticket] = sequence;
  }
  this->SendStore(entry, now, effects);
  return entry;
}

void OperationLedger::SendStore(PendingStore& entry,
                                TimePoint now,
                                LedgerEffects& effects) {
  entry.sent = now;
  for (const HostName& host : entry.unacked) {
    effects.sends.push_back({host, entry.store});
  }
}

void OperationLedger::FinishStored(LedgerEffects& effects) {
  std::vector<std::uint64_t> finished;
  for (const auto& [sequence, entry] : this->pending_stores) {
    if (entry.unacked.empty() && entry.on_disk) {
      finished.push_back(sequence);
    }
  }
  for (const std::uint64_t sequence : finished) {
    const PendingStore entry = std::move(this->pending_stores.at(sequence));
    this->pending_stores.erase(sequence);
    this->pending_store_of.erase(entry.store.record.operation);
    for (const PermitRequestId& id : entry.requests) {
      this->SendReply(id, entry.store.record, effects);
    }
    for (const PermitRequestId& id : entry.updates) {
      effects.sends.push_back({id.host, LedgerUpdated{id}});
    }
  }
}

void OperationLedger::SendCopies(TimePoint now, LedgerEffects& effects) {
  this->copy_sent = now;
  for (const auto& [host, parts] : this->copy_unacked) {
    for (const std::uint32_t part : parts) {
      effects.sends.push_back({host, this->copy_parts[part]});
    }
  }
}

void OperationLedger::ActivateWhenCopied() {
  if (this->copy_unacked.empty() && !this->copy_parts.empty()) {
    this->active = true;
    this->copy_parts.clear();
  }
}

void OperationLedger::SetRecord(const OperationRecord& record, TimePoint now) {
  this->records[record.operation] = {record, now};
}

void OperationLedger::SendReply(const PermitRequestId& id,
                                const OperationRecord& record,
                                LedgerEffects& effects) const {
  PermitReply reply;
  reply.id = id;
  switch (record.state) {
    case OperationState::kGranted:
      reply.verdict = record.holder == id ? PermitVerdict::kGranted
                                          : PermitVerdict::kInProgress;
      break;
    case OperationState::kAnswered:
      reply.verdict = PermitVerdict::kAnswered;
      reply.answer = record.answer;
      break;
    case OperationState::kUnknown:
      reply.verdict = PermitVerdict::kUnknown;
      break;
    case OperationState::kReleased:
      reply.verdict = PermitVerdict::kUnavailable;
      break;
  }
  effects.sends.push_back({id.host, std::move(reply)});
}

void OperationLedger::Refuse(const PermitRequestId& id,
                             PermitVerdict verdict,
                             LedgerEffects& effects) {
  effects.sends.push_back({id.host, PermitReply{id, verdict, {}}});
}

std::uint64_t OperationLedger::Write(std::vector<OperationRecord> written,
                                     bool replaces_all,
                                     LedgerEffects& effects) {
  if (!this->has_disk) {
    return 0;
  }
  LedgerBatch batch;
  batch.ticket = this->next_ticket++;
  batch.replaces_all = replaces_all;
  batch.synced_epoch = this->synced_epoch;
  batch.records = std::move(written);
  effects.batches.push_back(std::move(batch));
  return this->next_ticket - 1;
}

void OperationLedger::SendOnceWritten(std::uint64_t ticket,
                                      LedgerSend send,
                                      LedgerEffects& effects) {
  if (!this->has_disk || ticket <= this->persisted_ticket) {
    effects.sends.push_back(std::move(send));
    return;
  }
  this->deferred_sends.push_back({ticket, std::move(send)});
}

std::set<HostName> OperationLedger::OtherMembers() const {
  std::set<HostName> others;
  for (const ViewMember& member : this->view.members) {
    if (member.host != this->self) {
      others.insert(member.host);
    }
  }
  return others;
}

bool OperationLedger::HasDiskMember() const {
  return std::any_of(this->view.members.begin(), this->view.members.end(),
                     [](const ViewMember& member) { return member.has_disk; });
}

std::string EncodeLedgerBatch(const LedgerBatch& batch) {
  using nlohmann::json;
  json records = json::array();
  for (const OperationRecord& record : batch.records) {
    records.push_back({record.operation, record.state, record.holder,
                       record.answer.status, record.answer.content_type,
                       record.answer.body});
  }
  const json document = {batch.replaces_all, batch.synced_epoch,
                         std::move(records)};
  std::string bytes;
  json::to_cbor(document, bytes);
  return bytes;
}

Expected<RecoveredLedger, LedgerDecodeError> DecodeLedger(
    const std::vector<std::string>& journal) {
  using nlohmann::json;
  RecoveredLedger ledger;
  std::map<OperationId, OperationRecord> records;
  try {
    for (const std::string& bytes : journal) {
      const json document = json::from_cbor(bytes);
      if (document.at(0).get<bool>()) {
        records.clear();
      }
      document.at(1).get_to(ledger.synced_epoch);
      for (const json& value : document.at(2)) {
        OperationRecord record;
        value.at(0).get_to(record.operation);
        value.at(1).get_to(record.state);
        value.at(2).get_to(record.holder);
        value.at(3).get_to(record.answer.status);
        value.at(4).get_to(record.answer.content_type);
        value.at(5).get_to(record.answer.body);
        const OperationId operation = record.operation;
        records[operation] = std::move(record);
      }
    }
  } catch (const json::exception&) {
    return unexpected(LedgerDecodeError::kMalformed);
  }
  for (auto& [operation, record] : records) {
    ledger.records.push_back(std::move(record));
  }
  return ledger;
}

}  // namespace tamarackwing::state
