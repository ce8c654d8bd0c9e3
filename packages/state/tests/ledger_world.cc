#include "ledger_world.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::state {
namespace {

constexpr std::size_t kHosts = 3;
const RegionName kRegion("muscat");

}  // namespace

LedgerWorld::LedgerWorld() : hosts(kHosts) {
  this->hosts[0].has_disk = true;
  this->hosts[1].has_disk = true;
  for (std::size_t host = 0; host < kHosts; ++host) {
    this->Start(host);
  }
  this->ChangeView();
  for (std::size_t host = 0; host < kHosts; ++host) {
    this->TellView(host);
  }
  this->Settle();
}

std::uint64_t LedgerWorld::Ask(std::size_t host, const std::string& operation) {
  const std::uint64_t number = this->next_number++;
  const PermitRequest ask{{NameOf(host), this->hosts[host].incarnation, number},
                          OperationId(operation)};
  this->asks[number] = {host, ask, std::nullopt, false};
  this->AskAgain(number);
  return number;
}

void LedgerWorld::AskAgain(std::uint64_t number) {
  const Asked& asked = this->asks.at(number);
  const bool runs =
      this->hosts[asked.host].incarnation == asked.ask.id.incarnation &&
      this->hosts[asked.host].ledger != nullptr;
  if (runs && !asked.verdict) {
    this->messages.push_back({asked.host, {this->view.coordinator, asked.ask}});
  }
}

void LedgerWorld::End(std::uint64_t number, OperationState outcome) {
  Asked& asked = this->asks.at(number);
  const bool may_end = asked.verdict == PermitVerdict::kGranted &&
                       !asked.ended && this->hosts[asked.host].ledger;
  if (!may_end) {
    return;
  }
  asked.ended = true;
  if (outcome == OperationState::kReleased) {
    this->sends[asked.ask.operation.Text()] -= 1;
  }
  this->messages.push_back(
      {asked.host,
       {this->view.coordinator,
        LedgerUpdate{asked.ask.id, asked.ask.operation, outcome, {}}}});
}

void LedgerWorld::Deliver(std::size_t choice, bool keep) {
  if (this->messages.empty()) {
    return;
  }
  const std::size_t at = choice % this->messages.size();
  const Message message = this->messages[at];
  if (!keep) {
    this->Drop(at);
  }
  if (const auto* permit = std::get_if<PermitReply>(&message.send.message)) {
    this->TakePermit(*permit);
    return;
  }
  const std::size_t to = IndexOf(message.send.to);
  Host& host = this->hosts[to];
  if (host.ledger) {
    this->Take(to, host.ledger->Receive(NameOf(message.from),
                                        message.send.message, this->now));
  }
}

void LedgerWorld::Drop(std::size_t choice) {
  if (!this->messages.empty()) {
    const auto at = static_cast<std::ptrdiff_t>(choice % this->messages.size());
    this->messages.erase(this->messages.begin() + at);
  }
}

void LedgerWorld::Persist(std::size_t index) {
  Host& host = this->hosts[index];
  if (host.pending.empty() || !host.ledger) {
    return;
  }
  const LedgerBatch batch = std::move(host.pending.front());
  host.pending.erase(host.pending.begin());
  Write(host.disk, batch);
  this->Take(index, host.ledger->Persisted(batch.ticket, this->now));
}

void LedgerWorld::Advance(std::chrono::milliseconds step) {
  this->now += step;
  for (std::size_t host = 0; host < kHosts; ++host) {
    if (this->hosts[host].ledger) {
      this->Take(host, this->hosts[host].ledger->Tick(this->now));
    }
  }
}

void LedgerWorld::Crash(std::size_t index) {
  Host& host = this->hosts[index];
  if (host.ledger) {
    host.ledger.reset();
    host.pending.clear();
    host.incarnation += 1;
  }
}

void LedgerWorld::Restart(std::size_t host) {
  if (!this->hosts[host].ledger) {
    this->Start(host);
  }
}

bool LedgerWorld::ChangeView() {
  RegionView next;
  next.region = kRegion;
  next.epoch = this->view.epoch + 1;
  next.base_epoch = this->view.epoch;
  for (std::size_t host = 0; host < kHosts; ++host) {
    const Host& entry = this->hosts[host];
    for (const ViewMember& member : this->view.members) {
      const bool was_same =
          IndexOf(member.host) == host && entry.ledger &&
          (member.incarnation == entry.incarnation || entry.has_disk);
      if (was_same && entry.ledger->SyncedEpoch() < this->view.epoch) {
        next.base_epoch = this->view.base_epoch;
      }
    }
  }
  for (std::size_t host = 0; host < kHosts; ++host) {
    const Host& entry = this->hosts[host];
    if (!entry.ledger) {
      continue;
    }
    next.members.push_back({NameOf(host), entry.incarnation, entry.has_disk});
    const bool holds_all = entry.ledger->SyncedEpoch() >= next.base_epoch;
    if (holds_all && next.coordinator.IsEmpty()) {
      next.coordinator = NameOf(host);
    }
  }
  if (next.coordinator.IsEmpty()) {
    return false;
  }
  this->view = next;
  return true;
}

void LedgerWorld::TellView(std::size_t index) {
  Host& host = this->hosts[index];
  if (host.ledger) {
    this->Take(index, host.ledger->SetView(this->view, this->now));
  }
}

void LedgerWorld::Settle() {
  for (int i = 0; i < 2'000; ++i) {
    const bool is_quiet =
        this->messages.empty() &&
        std::all_of(this->hosts.begin(), this->hosts.end(),
                    [](const Host& host) { return host.pending.empty(); });
    if (is_quiet) {
      return;
    }
    this->Deliver(0, false);
    for (std::size_t host = 0; host < kHosts; ++host) {
      this->Persist(host);
    }
  }
}

std::optional<PermitVerdict> LedgerWorld::Verdict(std::uint64_t number) const {
  return this->asks.at(number).verdict;
}

int LedgerWorld::Sends(const std::string& operation) const {
  const auto found = this->sends.find(operation);
  return found == this->sends.end() ? 0 : found->second;
}

bool LedgerWorld::IsActive() const {
  const Host& host = this->hosts[IndexOf(this->view.coordinator)];
  return host.ledger && host.ledger->IsActive();
}

HostName LedgerWorld::NameOf(std::size_t host) {
  return HostName(std::to_string(host));
}

std::size_t LedgerWorld::IndexOf(const HostName& host) {
  return std::stoul(host.Text());
}

void LedgerWorld::Start(std::size_t index) {
  Host& host = this->hosts[index];
  const auto is_alive = [this](const PermitRequestId& id) {
    return this->hosts[IndexOf(id.host)].incarnation == id.incarnation;
  };
  host.ledger = std::make_unique<OperationLedger>(
      NameOf(index), host.incarnation, host.has_disk, LedgerOptions(),
      host.has_disk ? host.disk : RecoveredLedger(), is_alive);
}

void LedgerWorld::Take(std::size_t index, LedgerEffects effects) {
  for (LedgerSend& send : effects.sends) {
    this->messages.push_back({index, std::move(send)});
  }
  Host& host = this->hosts[index];
  for (LedgerBatch& batch : effects.batches) {
    const std::uint64_t ticket = batch.ticket;
    host.pending.push_back(std::move(batch));
    if (this->confirms_too_early) {
      this->Take(index, host.ledger->Persisted(ticket, this->now));
    }
  }
}

void LedgerWorld::TakePermit(const PermitReply& permit) {
  Asked& asked = this->asks.at(permit.id.number);
  const bool runs =
      this->hosts[asked.host].incarnation == permit.id.incarnation;
  if (!runs || asked.verdict) {
    return;
  }
  asked.verdict = permit.verdict;
  if (permit.verdict == PermitVerdict::kGranted) {
    this->sends[asked.ask.operation.Text()] += 1;
  }
}

void LedgerWorld::Write(RecoveredLedger& disk, const LedgerBatch& batch) {
  const auto again = DecodeLedger({EncodeLedgerBatch(batch)});
  if (batch.replaces_all) {
    disk.records.clear();
  }
  disk.synced_epoch = batch.synced_epoch;
  for (const OperationRecord& record : again->records) {
    std::erase_if(disk.records, [&](const OperationRecord& known) {
      return known.operation == record.operation;
    });
    disk.records.push_back(record);
  }
}

}  // namespace tamarackwing::state
