#include "ledger_cluster.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::state {
namespace {

constexpr std::size_t kHosts = 3;
const RegionName kRegion("muscat");

}  // namespace

LedgerCluster::LedgerCluster() : hosts(kHosts) {
  this->hosts[0].has_disk = true;
  this->hosts[1].has_disk = true;
  for (std::size_t host = 0; host < kHosts; ++host) {
    this->Start(host);
  }
  this->ChangeView();
  for (std::size_t host = 0; host < kHosts; ++host) {
    this->SendView(host);
  }
  this->RunUntilIdle();
}

std::uint64_t LedgerCluster::Request(std::size_t host,
                                     const std::string& operation) {
  const std::uint64_t number = this->next_number++;
  const PermitRequest request{
      {NameOf(host), this->hosts[host].incarnation, number},
      OperationId(operation)};
  this->requests[number] = {host, request, std::nullopt, false};
  this->Resend(number);
  return number;
}

void LedgerCluster::Resend(std::uint64_t number) {
  const RequestState& tracked = this->requests.at(number);
  const bool is_running =
      this->hosts[tracked.host].incarnation == tracked.request.id.incarnation &&
      this->hosts[tracked.host].ledger != nullptr;
  if (is_running && !tracked.verdict) {
    this->messages.push_back(
        {tracked.host, {this->view.coordinator, tracked.request}});
  }
}

void LedgerCluster::End(std::uint64_t number, OperationState outcome) {
  RequestState& tracked = this->requests.at(number);
  const bool may_end = tracked.verdict == PermitVerdict::kGranted &&
                       !tracked.ended && this->hosts[tracked.host].ledger;
  if (!may_end) {
    return;
  }
  tracked.ended = true;
  if (outcome == OperationState::kReleased) {
    this->grants[tracked.request.operation.Text()] -= 1;
  }
  this->messages.push_back(
      {tracked.host,
       {this->view.coordinator,
        LedgerUpdate{
            tracked.request.id, tracked.request.operation, outcome, {}}}});
}

void LedgerCluster::Deliver(std::size_t choice, bool keep) {
  if (this->messages.empty()) {
    return;
  }
  const std::size_t at = choice % this->messages.size();
  const Message message = this->messages[at];
  if (!keep) {
    this->Drop(at);
  }
  if (const auto* reply = std::get_if<PermitReply>(&message.send.message)) {
    this->HandlePermitReply(*reply);
    return;
  }
  const std::size_t to = IndexOf(message.send.to);
  Host& host = this->hosts[to];
  if (host.ledger) {
    this->ApplyEffects(
        to, host.ledger->Receive(NameOf(message.from), message.send.message,
                                 this->now));
  }
}

void LedgerCluster::Drop(std::size_t choice) {
  if (!this->messages.empty()) {
    const auto at = static_cast<std::ptrdiff_t>(choice % this->messages.size());
    this->messages.erase(this->messages.begin() + at);
  }
}

void LedgerCluster::Persist(std::size_t index) {
  Host& host = this->hosts[index];
  if (host.pending.empty() || !host.ledger) {
    return;
  }
  const LedgerBatch batch = std::move(host.pending.front());
  host.pending.erase(host.pending.begin());
  Write(host.disk, batch);
  this->ApplyEffects(index, host.ledger->Persisted(batch.ticket, this->now));
}

void LedgerCluster::Advance(std::chrono::milliseconds step) {
  this->now += step;
  for (std::size_t host = 0; host < kHosts; ++host) {
    if (this->hosts[host].ledger) {
      this->ApplyEffects(host, this->hosts[host].ledger->Tick(this->now));
    }
  }
}

void LedgerCluster::Crash(std::size_t index) {
  Host& host = this->hosts[index];
  if (host.ledger) {
    host.ledger.reset();
    host.pending.clear();
    host.incarnation += 1;
  }
}

void LedgerCluster::Restart(std::size_t host) {
  if (!this->hosts[host].ledger) {
    this->Start(host);
  }
}

bool LedgerCluster::ChangeView() {
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

void LedgerCluster::SendView(std::size_t index) {
  Host& host = this->hosts[index];
  if (host.ledger) {
    this->ApplyEffects(index, host.ledger->SetView(this->view, this->now));
  }
}

void LedgerCluster::RunUntilIdle() {
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

std::optional<PermitVerdict> LedgerCluster::Verdict(
    std::uint64_t number) const {
  return this->requests.at(number).verdict;
}

int LedgerCluster::Grants(const std::string& operation) const {
  const auto found = this->grants.find(operation);
  return found == this->grants.end() ? 0 : found->second;
}

bool LedgerCluster::IsActive() const {
  const Host& host = this->hosts[IndexOf(this->view.coordinator)];
  return host.ledger && host.ledger->IsActive();
}

HostName LedgerCluster::NameOf(std::size_t host) {
  return HostName(std::to_string(host));
}

std::size_t LedgerCluster::IndexOf(const HostName& host) {
  return std::stoul(host.Text());
}

void LedgerCluster::Start(std::size_t index) {
  Host& host = this->hosts[index];
  const auto is_alive = [this](const PermitRequestId& id) {
    return this->hosts[IndexOf(id.host)].incarnation == id.incarnation;
  };
  host.ledger = std::make_unique<OperationLedger>(
      NameOf(index), host.incarnation, host.has_disk, LedgerOptions(),
      host.has_disk ? host.disk : RecoveredLedger(), is_alive);
}

void LedgerCluster::ApplyEffects(std::size_t index, LedgerEffects effects) {
  for (LedgerSend& send : effects.sends) {
    this->messages.push_back({index, std::move(send)});
  }
  Host& host = this->hosts[index];
  for (LedgerBatch& batch : effects.batches) {
    const std::uint64_t ticket = batch.ticket;
    host.pending.push_back(std::move(batch));
    if (this->confirms_too_early) {
      this->ApplyEffects(index, host.ledger->Persisted(ticket, this->now));
    }
  }
}

void LedgerCluster::HandlePermitReply(const PermitReply& reply) {
  RequestState& tracked = this->requests.at(reply.id.number);
  const bool is_running =
      this->hosts[tracked.host].incarnation == reply.id.incarnation;
  if (!is_running || tracked.verdict) {
    return;
  }
  tracked.verdict = reply.verdict;
  if (reply.verdict == PermitVerdict::kGranted) {
    this->grants[tracked.request.operation.Text()] += 1;
  }
}

void LedgerCluster::Write(RecoveredLedger& disk, const LedgerBatch& batch) {
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
