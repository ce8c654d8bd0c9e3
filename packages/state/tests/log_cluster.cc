#include "log_cluster.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace tamarackwing::state {
namespace {

constexpr LogOptions kOptions;
constexpr char kSeparator = '\n';

std::string Join(const std::vector<std::string>& payloads) {
  std::string text;
  for (const std::string& payload : payloads) {
    text += payload + kSeparator;
  }
  return text;
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> payloads;
  std::istringstream stream(text);
  for (std::string payload; std::getline(stream, payload, kSeparator);) {
    payloads.push_back(payload);
  }
  return payloads;
}

}  // namespace

LogCluster::LogCluster(std::size_t voters, std::size_t spares) {
  for (std::size_t i = 0; i < voters + spares; ++i) {
    const HostName name("host-" + std::to_string(i));
    if (i < voters) {
      this->initial_voters.insert(name);
    }
    this->hosts[name];
  }
  for (const HostName& name : this->Names()) {
    this->Restart(name);
  }
}

void LogCluster::Advance(std::chrono::milliseconds step) {
  this->now += step;
  for (auto& [name, host] : this->hosts) {
    if (host.log) {
      this->ApplyEffects(name, host.log->Tick(this->now));
    }
  }
  this->CheckLeases();
}

void LogCluster::Deliver(std::size_t choice, bool keep) {
  if (this->messages.empty()) {
    return;
  }
  const std::size_t at = choice % this->messages.size();
  const Message message = this->messages[at];
  if (!keep) {
    this->Drop(at);
  }
  const bool is_partitioned = this->isolated.contains(message.from) !=
                              this->isolated.contains(message.send.to);
  Host& host = this->hosts.at(message.send.to);
  if (!is_partitioned && host.log) {
    this->ApplyEffects(
        message.send.to,
        host.log->Receive(message.from, message.send.message, this->now));
  }
}

void LogCluster::Drop(std::size_t choice) {
  if (!this->messages.empty()) {
    const auto at = static_cast<std::ptrdiff_t>(choice % this->messages.size());
    this->messages.erase(this->messages.begin() + at);
  }
}

void LogCluster::Persist(const HostName& name) {
  Host& host = this->hosts.at(name);
  if (host.pending.empty() || !host.log) {
    return;
  }
  const LogBatch batch = std::move(host.pending.front());
  host.pending.pop_front();
  Write(host.disk, batch);
  this->ApplyEffects(name, host.log->Persisted(batch.ticket, this->now));
}

void LogCluster::Crash(const HostName& name) {
  Host& host = this->hosts.at(name);
  host.log.reset();
  host.pending.clear();
  host.applied.clear();
}

void LogCluster::Restart(const HostName& name) {
  Host& host = this->hosts.at(name);
  if (host.log) {
    return;
  }
  host.applied = Split(host.disk.snapshot.state);
  host.log = std::make_unique<AgreedLog>(
      name, kOptions,
      host.bootstraps ? this->initial_voters : std::set<HostName>(), host.disk,
      this->random, this->now);
  this->ApplyEffects(name, host.log->Tick(this->now));
  if (host.applied.size() < host.max_applied) {
    this->violations.push_back(
        "a restarted host has applied less than before the restart");
  }
}

void LogCluster::LoseDisk(const HostName& name) {
  Host& host = this->hosts.at(name);
  host.disk = RecoveredLog();
  host.max_applied = 0;
  host.bootstraps = false;
}

void LogCluster::Partition(const std::set<HostName>& side) {
  this->isolated = side;
}

void LogCluster::Heal() {
  this->isolated.clear();
}

bool LogCluster::Propose(const std::string& payload) {
  for (auto& [name, host] : this->hosts) {
    if (host.log && host.log->IsLeader()) {
      LogEffects effects;
      const bool accepted =
          host.log->Propose(payload, this->now, effects).has_value();
      this->ApplyEffects(name, std::move(effects));
      return accepted;
    }
  }
  return false;
}

bool LogCluster::AddVoter(const HostName& voter) {
  for (auto& [name, host] : this->hosts) {
    if (host.log && host.log->IsLeader()) {
      LogEffects effects;
      const bool accepted =
          host.log->AddVoter(voter, this->now, effects).has_value();
      this->ApplyEffects(name, std::move(effects));
      return accepted;
    }
  }
  return false;
}

bool LogCluster::RemoveVoter(const HostName& voter) {
  for (auto& [name, host] : this->hosts) {
    if (host.log && host.log->IsLeader()) {
      LogEffects effects;
      const bool accepted =
          host.log->RemoveVoter(voter, this->now, effects).has_value();
      this->ApplyEffects(name, std::move(effects));
      return accepted;
    }
  }
  return false;
}

void LogCluster::Compact(const HostName& name) {
  Host& host = this->hosts.at(name);
  if (host.log && host.log->Commit() > host.log->SnapshotIndex()) {
    const auto entries =
        host.log->CommittedFrom(host.log->SnapshotIndex() + 1, 1 << 20);
    if (entries && !entries->empty()) {
      this->ApplyEffects(
          name, host.log->Compact(entries->back().index, Join(host.applied),
                                  this->now));
    }
  }
}

void LogCluster::RunFor(std::chrono::milliseconds time) {
  constexpr std::chrono::milliseconds kStep{50};
  const TimePoint until = this->now + time;
  while (this->now < until) {
    this->Advance(kStep);
    for (int i = 0; i < 400 && !this->messages.empty(); ++i) {
      this->Deliver(0, false);
      for (const HostName& name : this->Names()) {
        if (!this->stalled.contains(name)) {
          this->Persist(name);
        }
      }
    }
    for (const HostName& name : this->Names()) {
      while (this->hosts.at(name).log && !this->stalled.contains(name) &&
             !this->hosts.at(name).pending.empty()) {
        this->Persist(name);
      }
    }
  }
}

HostName LogCluster::Leader() const {
  for (const auto& [name, host] : this->hosts) {
    if (host.log && host.log->HasLease(this->now)) {
      return name;
    }
  }
  return HostName();
}

std::vector<HostName> LogCluster::Names() const {
  std::vector<HostName> names;
  for (const auto& [name, host] : this->hosts) {
    names.push_back(name);
  }
  return names;
}

void LogCluster::ApplyEffects(const HostName& name, LogEffects effects) {
  Host& host = this->hosts.at(name);
  for (LogSend& send : effects.sends) {
    this->messages.push_back({name, std::move(send)});
  }
  if (effects.installed) {
    host.applied = Split(effects.installed->state);
  }
  for (const LogEntry& entry : effects.committed) {
    this->Apply(name, entry);
  }
  for (LogBatch& batch : effects.batches) {
    const std::uint64_t ticket = batch.ticket;
    host.pending.push_back(std::move(batch));
    if (this->confirms_too_early) {
      this->ApplyEffects(name, host.log->Persisted(ticket, this->now));
    }
  }
}

void LogCluster::Apply(const HostName& name, const LogEntry& entry) {
  const std::string text =
      std::to_string(static_cast<int>(entry.kind)) + entry.payload;
  const auto [known, is_new] =
      this->committed_entries.emplace(entry.index, text);
  if (!is_new && known->second != text) {
    this->violations.push_back("different entries committed at index " +
                               std::to_string(entry.index));
  }
  if (entry.kind == EntryKind::kChange) {
    Host& host = this->hosts.at(name);
    host.applied.push_back(entry.payload);
    host.max_applied = std::max(host.max_applied, host.applied.size());
  }
}

void LogCluster::Write(RecoveredLog& disk, const LogBatch& batch) {
  if (batch.vote) {
    disk.vote = *batch.vote;
  }
  disk.commit = std::max(disk.commit, batch.commit);
  if (batch.truncate_from != 0) {
    std::erase_if(disk.entries, [&](const LogEntry& entry) {
      return entry.index >= batch.truncate_from;
    });
  }
  if (batch.snapshot) {
    disk.snapshot = *batch.snapshot;
    std::erase_if(disk.entries, [&](const LogEntry& entry) {
      return entry.index <= batch.snapshot->index;
    });
  }
  disk.entries.insert(disk.entries.end(), batch.entries.begin(),
                      batch.entries.end());
}

void LogCluster::CheckLeases() {
  int holders = 0;
  for (const auto& [name, host] : this->hosts) {
    holders += host.log && host.log->HasLease(this->now) ? 1 : 0;
  }
  if (holders > 1) {
    this->violations.push_back("two leaders with a lease");
  }
}

}  // namespace tamarackwing::state
