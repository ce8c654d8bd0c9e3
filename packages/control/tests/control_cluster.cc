#include "control_cluster.h"

#include <algorithm>
#include <utility>

#include "tamarackwing/control/message_kind.h"

namespace tamarackwing::control {
namespace {

//! What a connection sends before another one of the same link has its turn.
constexpr std::uint64_t kLinkPacket = 1'500;

std::uint64_t SizeOf(const std::vector<state::LogEntry>& entries) {
  std::uint64_t size = 0;
  for (const state::LogEntry& entry : entries) {
    size += entry.payload.size();
  }
  return size;
}

//! Returns about how many bytes a message takes on the wire.
std::uint64_t SizeOf(const PeerMessage& message) {
  constexpr std::uint64_t kSmall = 200;
  constexpr std::uint64_t kStatus = 150;
  if (const auto* reply = std::get_if<FeedReply>(&message)) {
    return kSmall + SizeOf(reply->entries) +
           (reply->snapshot ? reply->snapshot->state.size() : 0);
  }
  if (const auto* request = std::get_if<FeedRequest>(&message)) {
    return kSmall + kStatus * request->statuses.size();
  }
  if (const auto* log = std::get_if<state::LogMessage>(&message)) {
    if (const auto* append = std::get_if<state::AppendRequest>(log)) {
      return kSmall + SizeOf(append->entries);
    }
    if (const auto* install = std::get_if<state::InstallRequest>(log)) {
      return kSmall + install->snapshot.state.size();
    }
  }
  return kSmall;
}

}  // namespace

ControlCluster::ControlCluster(const std::vector<std::string>& regions,
                               std::size_t hosts_per_region,
                               std::chrono::milliseconds delay)
    : delay(delay) {
  for (const std::string& region : regions) {
    for (std::size_t i = 1; i <= hosts_per_region; ++i) {
      state::HostRecord host;
      host.name = HostName(region + "-" + std::to_string(i));
      host.region = RegionName(region);
      host.has_disk = i == 1;
      host.reads_format = state::kNewestFormat;
      this->records[host.name] = host;
      if (host.has_disk && this->voters.size() < 3) {
        this->voters.insert(host.name);
      }
    }
  }
  for (const HostName& host : this->Names()) {
    this->Start(host, true);
  }
}

ControlCluster::ControlCluster(const std::vector<state::HostRecord>& hosts,
                               const std::set<HostName>& seeds,
                               std::chrono::milliseconds delay,
                               std::size_t max_voters)
    : delay(delay), max_voters(max_voters), voters(seeds), seeds(seeds) {
  for (const state::HostRecord& host : hosts) {
    this->records[host.name] = host;
  }
  for (const HostName& host : this->Names()) {
    this->Start(host, true);
  }
}

void ControlCluster::Run(std::chrono::milliseconds time) {
  const TimePoint until = this->now + time;
  while (this->now < until) {
    this->now += kStep;
    for (const HostName& host : this->Names()) {
      if (this->IsUp(host) && !this->suspended.contains(host)) {
        this->ApplyEffects(host, this->nodes.at(host)->Tick(this->now));
      }
    }
    this->RunLinks();
    while (!this->messages.empty() &&
           this->messages.begin()->first <= this->now) {
      const Message message = std::move(this->messages.begin()->second);
      this->messages.erase(this->messages.begin());
      const HostName& to = message.send.to;
      const bool is_partitioned = this->partition.contains(message.from) !=
                                  this->partition.contains(to);
      if (!is_partitioned && this->IsUp(to) && !this->suspended.contains(to)) {
        this->known[to].insert(message.from);
        this->ApplyEffects(
            to, this->nodes.at(to)->Receive(message.from, message.send.message,
                                            this->now));
      }
    }
    if (this->checks_contacts) {
      this->CheckContacts();
    }
  }
}

void ControlCluster::Partition(const std::set<HostName>& side) {
  this->partition = side;
}

void ControlCluster::Heal() {
  this->partition.clear();
}

void ControlCluster::Post(const HostName& from, PeerSend send) {
  TimePoint at = this->now + this->delay;
  const Disturbance& may = this->disturbance;
  constexpr std::uint64_t kPercent = 100;
  const auto happens = [&](std::uint64_t percent) {
    return percent > 0 && this->random.Below(kPercent) < percent;
  };
  if (happens(may.lost)) {
    return;
  }
  if (happens(may.doubled)) {
    this->messages.emplace(at + this->RandomDelay(may.longest_delay),
                           Message{from, send});
  }
  if (happens(may.late)) {
    at += this->RandomDelay(may.longest_delay);
  }
  if (this->IsLimited(from, send.to)) {
    const std::uint64_t size = SizeOf(send.message);
    std::deque<Transfer>& queue =
        this->transfers[{from, send.to, ChannelOf(send.message)}];
    queue.push_back({std::move(send), size, this->now});
    return;
  }
  this->messages.emplace(at, Message{from, std::move(send)});
}

void ControlCluster::LimitLink(const HostName& host, std::uint64_t rate) {
  this->link_rates[host] = rate;
}

bool ControlCluster::IsLimited(const HostName& from, const HostName& to) const {
  return this->link_rates.contains(from) || this->link_rates.contains(to);
}

void ControlCluster::RunLinks() {
  constexpr std::uint64_t kStepsPerSecond = std::chrono::seconds(1) / kStep;
  std::map<HostName, std::uint64_t> may_send;
  for (const auto& [host, rate] : this->link_rates) {
    may_send[host] = rate / kStepsPerSecond;
  }
  std::map<HostName, std::uint64_t> may_receive = may_send;
  std::map<Connection, std::uint64_t> may_carry;
  for (const auto& [connection, queue] : this->transfers) {
    may_carry[connection] = this->connection_rate / kStepsPerSecond;
  }
  // As PeerNetwork: a connection on which nothing moves for this long ends.
  constexpr std::chrono::milliseconds kCallTimeout{2'000};
  std::erase_if(this->transfers, [&](const auto& entry) {
    return entry.second.empty() ||
           this->now - entry.second.front().moved >= kCallTimeout;
  });
  const auto left = [](std::map<HostName, std::uint64_t>& budgets,
                       const HostName& host) {
    const auto found = budgets.find(host);
    return found == budgets.end() ? kLinkPacket : found->second;
  };
  const auto spend = [](std::map<HostName, std::uint64_t>& budgets,
                        const HostName& host, std::uint64_t bytes) {
    const auto found = budgets.find(host);
    if (found != budgets.end()) {
      found->second -= bytes;
    }
  };
  bool has_sent = true;
  while (has_sent) {
    has_sent = false;
    for (auto& [connection, queue] : this->transfers) {
      const auto& [from, to, channel] = connection;
      std::uint64_t& carries = may_carry[connection];
      if (queue.empty() || this->suspended.contains(from) ||
          this->suspended.contains(to)) {
        continue;
      }
      Transfer& next = queue.front();
      const std::uint64_t bytes =
          std::min({next.unsent, kLinkPacket, left(may_send, from),
                    left(may_receive, to), carries});
      if (bytes == 0) {
        continue;
      }
      has_sent = true;
      spend(may_send, from, bytes);
      spend(may_receive, to, bytes);
      carries -= bytes;
      this->link_bytes += bytes;
      next.unsent -= bytes;
      next.moved = this->now;
      if (channel == Channel::kMain && this->IsUp(to) &&
          this->Node(to).AwaitedHosts().contains(from)) {
        this->Node(to).NoteBytes(from, this->now);
      }
      if (next.unsent == 0) {
        this->messages.emplace(this->now + this->delay,
                               Message{from, std::move(next.send)});
        queue.pop_front();
        if (!queue.empty()) {
          queue.front().moved = this->now;
        }
      }
    }
  }
}

std::chrono::milliseconds ControlCluster::RandomDelay(
    std::chrono::milliseconds longest) {
  return std::chrono::milliseconds(
      this->random.Below(static_cast<std::uint64_t>(longest.count()) + 1));
}

void ControlCluster::Crash(const HostName& host) {
  this->nodes.erase(host);
  this->known.erase(host);
  if (this->IsDiskStalled(host)) {
    this->unwritten[host].clear();
  }
  // The next process counts its proposals and requests from the start.
  std::erase_if(this->outcomes, [&](const auto& outcome) {
    return outcome.first.first == host;
  });
  std::erase_if(this->verdicts, [&](const auto& verdict) {
    return verdict.first.first == host;
  });
}

void ControlCluster::Add(const state::HostRecord& record) {
  this->records[record.name] = record;
  this->Start(record.name, false);
}

void ControlCluster::Restart(const HostName& host) {
  if (!this->IsUp(host)) {
    this->Start(host, false);
  }
}

std::uint64_t ControlCluster::Change(const HostName& host,
                                     const state::ControlChange& change) {
  ControlEffects effects;
  const std::uint64_t number =
      this->Node(host).Propose(change, this->now, effects);
  this->ApplyEffects(host, std::move(effects));
  return number;
}

std::uint64_t ControlCluster::Publish(const HostName& host,
                                      const std::string& id,
                                      SetVersion base,
                                      const state::ConfigurationSet& set) {
  ControlNode& node = this->Node(host);
  const state::PublishSet publish{PublishId(id), base,
                                  state::DiffSets(*node.State().Set(), set)};
  ControlEffects effects;
  const std::uint64_t number = node.Propose(publish, this->now, effects);
  this->ApplyEffects(host, std::move(effects));
  return number;
}

std::optional<state::ApplyOutcome> ControlCluster::Outcome(
    const HostName& host,
    std::uint64_t number) const {
  const auto found = this->outcomes.find({host, number});
  if (found == this->outcomes.end()) {
    return std::nullopt;
  }
  return found->second;
}

void ControlCluster::Withdraw(const HostName& host, const std::string& digest) {
  this->ApplyEffects(
      host, this->nodes.at(host)->Withdraw(KeyDigest(digest), this->now));
}

void ControlCluster::ReportCrashes(const HostName& host,
                                   const policy::CrashReport& report) {
  this->ApplyEffects(host, this->Node(host).ReportCrashes(report, this->now));
}

void ControlCluster::RelayServer(const HostName& host,
                                 const policy::ServerReport& report) {
  this->ApplyEffects(host, this->Node(host).RelayServer(report, this->now));
}

void ControlCluster::TellDoubts(const HostName& host,
                                std::vector<HeardDoubt> doubts) {
  this->ApplyEffects(host, this->Node(host).TellDoubts(std::move(doubts)));
}

std::uint64_t ControlCluster::RequestPermitAt(const HostName& host,
                                              const std::string& region,
                                              const std::string& operation) {
  ControlEffects effects;
  const std::uint64_t number = this->Node(host).RequestPermit(
      RegionName(region), OperationId(operation), this->now, effects);
  this->ApplyEffects(host, std::move(effects));
  return number;
}

std::optional<state::PermitVerdict> ControlCluster::Verdict(
    const HostName& host,
    std::uint64_t number) const {
  const auto found = this->verdicts.find({host, number});
  if (found == this->verdicts.end()) {
    return std::nullopt;
  }
  return found->second;
}

void ControlCluster::RequestTokens(const HostName& host, TokenCount wanted) {
  const policy::ChunkRequest request{this->next_chunk++, WorkspaceName("desk"),
                                     wanted, wanted};
  this->ApplyEffects(host, this->Node(host).RequestChunk(request, this->now));
}

HostName ControlCluster::Leader() const {
  HostName leader;
  Term newest = 0;
  for (const auto& [name, node] : this->nodes) {
    if (node->IsLeader() && node->CurrentTerm() > newest) {
      leader = name;
      newest = node->CurrentTerm();
    }
  }
  return leader;
}

std::vector<HostName> ControlCluster::Names() const {
  std::vector<HostName> names;
  for (const auto& [name, record] : this->records) {
    names.push_back(name);
  }
  return names;
}

std::set<HostName> ControlCluster::HostsOf(const std::string& region) const {
  std::set<HostName> hosts;
  for (const auto& [name, record] : this->records) {
    if (record.region == RegionName(region)) {
      hosts.insert(name);
    }
  }
  return hosts;
}

bool ControlCluster::AllReady() const {
  return std::all_of(this->nodes.begin(), this->nodes.end(),
                     [](const auto& entry) { return entry.second->IsReady(); });
}

void ControlCluster::Start(const HostName& host, bool bootstraps) {
  ControlOptions options;
  options.self = this->records.at(host);
  constexpr std::uint64_t kRequestsOfProcess = 1'000'000;
  options.self.incarnation = this->next_incarnation++ * kRequestsOfProcess;
  for (const auto& [name, record] : this->records) {
    options.seeds.push_back(record);
  }
  if (!this->seeds.empty()) {
    options.seeds.clear();
    for (const HostName& seed : this->seeds) {
      state::HostRecord record;
      record.name = seed;
      record.has_disk = true;
      options.seeds.push_back(record);
    }
    options.voters = this->max_voters;
  }
  const bool is_voter = this->voters.contains(host);
  const bool knows_initial_voters =
      this->seeds.empty()
          ? bootstraps || !is_voter || this->disks.contains(host)
          : bootstraps && options.self.has_disk;
  if (knows_initial_voters) {
    options.initial_voters = this->voters;
  }
  for (const state::HostRecord& seed : options.seeds) {
    this->known[host].insert(seed.name);
  }
  this->nodes[host] = std::make_unique<ControlNode>(options, this->disks[host],
                                                    this->random, this->now);
  this->LearnHosts(host);
}

void ControlCluster::LearnHosts(const HostName& host) {
  for (const auto& [name, record] : this->Node(host).State().Hosts()) {
    this->known[host].insert(name);
  }
}

void ControlCluster::ApplyEffects(const HostName& host,
                                  ControlEffects effects) {
  ControlNode& node = this->Node(host);
  if (effects.snapshot_changed) {
    this->LearnHosts(host);
  }
  for (PeerSend& send : effects.sends) {
    if (!this->known[host].contains(send.to)) {
      continue;
    }
    this->sent += 1;
    this->sent_by_kind[std::string(MessageKind(send.message))] += 1;
    const auto* log_message = std::get_if<state::LogMessage>(&send.message);
    const auto* append = log_message == nullptr
                             ? nullptr
                             : std::get_if<state::AppendRequest>(log_message);
    this->entries_sent += append == nullptr ? 0 : append->entries.size();
    this->Post(host, std::move(send));
  }
  const auto write = [&](const auto& batch) {
    const auto stalled = this->unwritten.find(host);
    if (stalled == this->unwritten.end()) {
      this->Write(host, batch);
    } else {
      stalled->second.emplace_back(batch);
    }
  };
  for (const state::LogBatch& batch : effects.log_batches) {
    write(batch);
  }
  for (const state::LedgerBatch& batch : effects.ledger_batches) {
    write(batch);
  }
  for (const policy::ServerReport& report : effects.servers) {
    this->servers[host][report.name] = report;
  }
  for (const DoubtsUpdate& update : effects.doubts) {
    std::vector<HeardDoubt>& told = this->doubts[host];
    told.insert(told.end(), update.doubts.begin(), update.doubts.end());
  }
  this->notices[host] += effects.quarantine_notices.size();
  for (const ChangeDone& done : effects.changes) {
    this->outcomes[{host, done.number}] = done.outcome;
  }
  for (const state::PermitReply& permit : effects.permits) {
    this->verdicts[{host, permit.id.number}] = permit.verdict;
  }
  for (const policy::ChunkGrant& grant : effects.grants) {
    this->tokens += grant.tokens;
  }
  if (node.IsReady()) {
    SetVersion& newest = this->newest_versions[host];
    if (node.State().Version() < newest) {
      this->violations.push_back(host.Text() + " reverted to an older version");
    }
    newest = std::max(newest, node.State().Version());
  }
}

void ControlCluster::Write(const HostName& host, const state::LogBatch& batch) {
  state::RecoveredLog& disk = this->disks[host].log;
  if (batch.vote) {
    disk.vote = *batch.vote;
  }
  if (batch.truncate_from != 0) {
    std::erase_if(disk.entries, [&](const state::LogEntry& entry) {
      return entry.index >= batch.truncate_from;
    });
  }
  if (batch.snapshot) {
    disk.snapshot = *batch.snapshot;
    std::erase_if(disk.entries, [&](const state::LogEntry& entry) {
      return entry.index <= batch.snapshot->index;
    });
  }
  disk.entries.insert(disk.entries.end(), batch.entries.begin(),
                      batch.entries.end());
  disk.commit = std::max(disk.commit, batch.commit);
  this->ApplyEffects(host,
                     this->Node(host).LogPersisted(batch.ticket, this->now));
}

void ControlCluster::Write(const HostName& host,
                           const state::LedgerBatch& batch) {
  state::RecoveredLedger& disk = this->disks[host].ledger;
  if (batch.replaces_all) {
    disk.records.clear();
  }
  disk.synced_epoch = batch.synced_epoch;
  for (const state::OperationRecord& record : batch.records) {
    std::erase_if(disk.records, [&](const state::OperationRecord& known) {
      return known.operation == record.operation;
    });
    disk.records.push_back(record);
  }
  this->ApplyEffects(host,
                     this->Node(host).LedgerPersisted(batch.ticket, this->now));
}

void ControlCluster::ResumeDisk(const HostName& host) {
  const auto stalled = this->unwritten.find(host);
  if (stalled == this->unwritten.end()) {
    return;
  }
  const auto batches = std::move(stalled->second);
  this->unwritten.erase(stalled);
  for (const auto& batch : batches) {
    std::visit([&](const auto& written) { this->Write(host, written); }, batch);
  }
}

void ControlCluster::CheckContacts() {
  LogIndex highest = 0;
  for (const auto& [host, node] : this->nodes) {
    highest = std::max(highest, node->State().Applied());
  }
  const bool is_higher = this->highest_applied.empty() ||
                         highest > this->highest_applied.rbegin()->second;
  if (is_higher) {
    this->highest_applied[this->now] = highest;
  }
  for (const auto& [host, node] : this->nodes) {
    // What was applied before the contact was committed by then.
    const auto after = this->highest_applied.lower_bound(
        this->SnapshotOf(host)->leader_contact);
    if (after == this->highest_applied.begin()) {
      continue;
    }
    const LogIndex committed = std::prev(after)->second;
    if (node->State().Applied() < committed) {
      this->violations.push_back(
          host.Text() + " claims a leader contact newer than its state: " +
          std::to_string(node->State().Applied()) + " of " +
          std::to_string(committed));
    }
  }
}

std::vector<state::HostRecord> HostsOf(const std::vector<std::string>& regions,
                                       std::size_t with_disks,
                                       std::size_t entry_hosts) {
  constexpr std::size_t kFirstNumber = 100;
  std::vector<state::HostRecord> hosts;
  for (const std::string& region : regions) {
    for (std::size_t i = 0; i < with_disks + entry_hosts; ++i) {
      state::HostRecord host;
      host.name = HostName(region + "-" + std::to_string(kFirstNumber + i));
      host.region = RegionName(region);
      host.has_disk = i < with_disks;
      host.caller_port = host.has_disk ? 0 : 80;
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::vector<HostName> NamesWithoutDisks(
    const std::vector<state::HostRecord>& hosts) {
  std::vector<HostName> names;
  for (const state::HostRecord& host : hosts) {
    if (!host.has_disk) {
      names.push_back(host.name);
    }
  }
  return names;
}

state::ReplaceSet NumberedSet(std::uint64_t number) {
  state::ReplaceSet change;
  change.number = number;
  return change;
}

state::ConfigurationSet SmallSet(const std::string& region, TokenCount rate) {
  state::ConfigurationSet set;
  const state::ResidencyRuleName rule("here");
  set.residency_rules[rule] = {rule, {RegionName(region)}};
  state::Workspace workspace;
  workspace.name = WorkspaceName("desk");
  workspace.rate = rate;
  workspace.burst = 10 * rate;
  workspace.home_regions = {RegionName(region)};
  workspace.residency = rule;
  set.workspaces[workspace.name] = workspace;
  const KeyDigest key("key");
  set.keys[key] = {key, workspace.name, {RegionName(region)}};
  return set;
}

}  // namespace tamarackwing::control
