#include "tamarackwing/policy/server_table.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_set>
#include <utility>

#include "tamarackwing/base/digest.h"
#include "tamarackwing/base/random_source.h"
#include "tamarackwing/policy/admission.h"
#include "tamarackwing/policy/placement.h"
#include "tamarackwing/policy/rejection_gate.h"
#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::policy {
namespace {

//! The share of a prompt's tokens that a cached prefix is assumed to cover.
constexpr double kCachedShare = 0.8;
//! Output tokens assumed if the actual number is unknown.
constexpr TokenCount kTypicalOutput = 128;
//! As PromptGroup::max_extra_prefills, if the waits are known: a group that
//! leaves its server costs a prefill of the common prefix now, one when it
//! returns, and one of what it evicts from the other server's cache.
constexpr int kMaxExtraPrefillsShared = 3;
//! Broken responses in a row that eject a server. A single one may be caused by
//! the request or the network.
constexpr std::uint32_t kBreaksToEject = 2;
//! The weight of a new run time in the moving average is 1 over this.
constexpr int kRunAverageWeight = 32;
//! Signs that a server's process may have been replaced are told to the other
//! hosts of the region again if they are newer than the last ones by this.
constexpr std::chrono::milliseconds kTellAgain{500};
//! A limit is forgotten if no host of the region has had an answer of its
//! server for this long.
constexpr std::chrono::seconds kLimitLife{10};
//! Requests per second to a server that names a lower limit or zero, so that
//! its answers can tell when that ends.
constexpr double kMinLimit = 0.2;
constexpr double kPerKilosecond = 1'000;
//! The weight of a new first output in the averages of their delays is 1 over
//! this: a host sees some ten of them a second.
constexpr double kDelayWeight = 32;
//! A server that is ten times later than expected is in trouble, not loaded.
constexpr double kMaxDelayRatio = 10;
//! Without first outputs the ratio returns to 1 with this time constant, so
//! that a target is tried again after all its requests were turned away.
constexpr std::chrono::seconds kDelayLife{5};
//! Slowness from which on a server is counted as slow.
constexpr double kSlow = 1.5;
//! Seconds of its share that a host may send at once after a pause.
constexpr double kLimitBurst = 2;
//! Hosts that share even a limit below one request per second each; few, since
//! each may send one request at any moment.
constexpr std::size_t kMinOwners = 3;
constexpr double kMaxSlots = 1'000'000;
//! How long a process that has announced its shutdown is remembered after its
//! last report, so that a late one does not bring it back.
constexpr std::chrono::seconds kDepartedLife{60};
//! A host returns after a pause within this part of it, and within
//! kMaxReturnSpread, so that the hosts that were sent away together do not
//! return together.
constexpr int kReturnSpreadPart = 4;
constexpr std::chrono::milliseconds kMaxReturnSpread{1'000};

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

//! A token bucket for this host's share of a server's limit.
struct LimitBucket {
  std::uint64_t per_kilosecond = 0;
  //! Requests per second that this host may send.
  double share = 0;
  double level = 0;
  TimePoint filled;

  double LevelAt(TimePoint now) const {
    if (this->share <= 0) {
      return 0;
    }
    const double gained =
        this->share * std::chrono::duration<double>(now - this->filled).count();
    return std::min(std::max(1.0, kLimitBurst * this->share),
                    this->level + gained);
  }
  void FillTo(TimePoint now) {
    this->level = this->LevelAt(now);
    this->filled = now;
  }
};

struct ServerTable::Server {
  ServerReport report;
  //! See ServerIdOf.
  std::uint32_t id = 0;
  //! See ServerTable::SetPoolPositions.
  double pool_position = 1;
  //! Digest of the version of its software.
  std::uint64_t software = 0;
  //! Set while the server names a limit.
  std::optional<LimitBucket> limit;
  //! When the last answer that told whether there is a limit arrived.
  TimePoint limit_heard;
  //! When its answers stopped naming a limit.
  std::optional<TimePoint> limit_ended;
  //! When the server last said that rejections make it fall over; nullopt once
  //! it does not say so any more.
  std::optional<TimePoint> brittle_heard;
  RejectionGate gate;
  //! Set from a pause that the server asked for until it accepts a request:
  //! until when it gets none.
  std::optional<TimePoint> paused_until;
  TimePoint lease_until;
  //! When the load of the last report was measured, by this host's clock.
  TimePoint load_measured;
  //! When it was first announced or its last ejection ended; slow start counts
  //! from here.
  TimePoint usable_since;
  TimePoint ejected_until;
  //! Ejections since the last complete response.
  std::uint32_t failures = 0;
  //! Broken responses since the last complete one or the last ejection.
  std::uint32_t broken_responses = 0;
  //! When it last sent anything.
  TimePoint last_alive;
  //! Start of the current silence: when it last sent anything, or when it got a
  //! request while it had none in flight.
  TimePoint silent_since;
  //! Requests of this host in flight.
  std::uint32_t own_running = 0;
  //! Prompt tokens sent by this host whose prefill has not finished.
  TokenCount pending_prefill = 0;
  //! Never null.
  ServerWarmth* warmth = nullptr;
  //! When the first and the last report of its process were applied.
  TimePoint first_reported_at;
  TimePoint reported_at;
  //! When requests were sent to it since the load of the last report was
  //! measured.
  std::deque<TimePoint> sent;
  //! The prefixes in order of insertion, for eviction.
  std::deque<std::uint64_t> prefix_order;
  std::unordered_set<std::uint64_t> prefixes;

  //! Returns the reported load, plus the requests sent since it was measured.
  double Load() const {
    const double reported = this->report.running + this->report.queued;
    const double corrected = reported + static_cast<double>(this->sent.size());
    return std::max(corrected, static_cast<double>(this->own_running));
  }

  void DropSentBefore(TimePoint time) {
    while (!this->sent.empty() && this->sent.front() < time) {
      this->sent.pop_front();
    }
  }

  //! Returns the tokens of the leading blocks that are probably cached.
  TokenCount CachedTokens(const std::vector<PrefixBlock>& prefix_blocks) const {
    TokenCount cached_tokens = 0;
    for (const PrefixBlock& block : prefix_blocks) {
      if (!this->prefixes.contains(block.digest)) {
        break;
      }
      cached_tokens += block.tokens;
    }
    return cached_tokens;
  }
};

std::string_view HealthSignalName(HealthSignal signal) {
  switch (signal) {
    case HealthSignal::kAnswered:
      return "answered";
    case HealthSignal::kUnreachable:
      return "unreachable";
    case HealthSignal::kBroken:
      return "broken";
    case HealthSignal::kSilent:
      return "silent";
    case HealthSignal::kInconclusive:
      return "inconclusive";
  }
  return "unknown";
}

ServerTable::ServerTable(ServerTableLimits limits, TimePoint start)
    : limits(limits), start(start) {}
ServerTable::~ServerTable() = default;
ServerTable::ServerTable(ServerTable&&) noexcept = default;

ServerTable::Server* ServerTable::Find(const BackendServerName& name) {
  const auto found = this->servers.find(name);
  return found == this->servers.end() ? nullptr : found->second.get();
}

void ServerTable::MarkLeaving(const ServerReport& report, TimePoint now) {
  Server* const known = this->Find(report.name);
  const auto zero = std::chrono::milliseconds(0);
  if (known == nullptr) {
    return;
  }
  ServerReport& last = known->report;
  if (report.started == zero || report.started == last.started) {
    last.leaving = true;
    this->NoteDeparted(last.name, last.started, now);
  }
}

void ServerTable::NoteDeparted(const BackendServerName& name,
                               std::chrono::milliseconds started,
                               TimePoint now) {
  // Without a start time, a new process cannot be told from the old one.
  if (started == std::chrono::milliseconds(0)) {
    return;
  }
  Process& process = this->departed[name];
  if (started >= process.started) {
    process = {started, now + kDepartedLife};
  }
}

bool ServerTable::IsFromDeparted(const ServerReport& report) const {
  const auto process = this->departed.find(report.name);
  return process != this->departed.end() && !report.leaving &&
         report.started <= process->second.started;
}

bool ServerTable::IsStale(const ServerReport& report) const {
  const auto at = this->by_address.find({report.address, report.port});
  if (at != this->by_address.end() && at->second != report.name) {
    const auto holder = this->servers.find(at->second);
    if (holder != this->servers.end() &&
        holder->second->report.started > report.started) {
      return true;
    }
  }
  const auto known = this->servers.find(report.name);
  if (known == this->servers.end()) {
    return false;
  }
  const ServerReport& last = known->second->report;
  if (report.started != last.started) {
    return report.started < last.started && !report.address.empty();
  }
  // A process that has announced its shutdown never accepts requests again.
  const bool reopens = last.leaving && !report.leaving &&
                       report.started > std::chrono::milliseconds(0);
  const bool is_late = report.sequence != 0 && report.sequence < last.sequence;
  return reopens || is_late;
}

void ServerTable::AssignAddress(const ServerReport& report) {
  if (report.address.empty()) {
    return;
  }
  const std::pair endpoint(report.address, report.port);
  const auto at = this->by_address.find(endpoint);
  if (at != this->by_address.end() && at->second != report.name) {
    const auto replaced = this->servers.find(at->second);
    if (replaced != this->servers.end()) {
      this->Unindex(*replaced->second);
      this->servers.erase(replaced);
    }
  }
  this->by_address[endpoint] = report.name;
}

ReportChanges ServerTable::Announce(const ServerReport& report, TimePoint now) {
  ReportChanges changes;
  if (this->IsFromDeparted(report)) {
    Process& process = this->departed.at(report.name);
    if (process.started == report.started) {
      process.until = now + kDepartedLife;
    }
    return changes;
  }
  if (this->IsStale(report)) {
    return changes;
  }
  if (report.address.empty() && report.leaving) {
    this->MarkLeaving(report, now);
    return changes;
  }
  if (report.leaving) {
    this->NoteDeparted(report.name, report.started, now);
  } else {
    this->departed.erase(report.name);
  }
  this->AssignAddress(report);
  std::unique_ptr<Server>& slot = this->servers[report.name];
  changes.is_new = !slot;
  if (changes.is_new) {
    slot = std::make_unique<Server>();
    slot->usable_since = now;
  } else {
    this->Unindex(*slot);
    if (slot->report.started != report.started) {
      changes.process = {slot->report.started, now - slot->reported_at,
                         slot->warmth->SentLately(now)};
      // A new process has lost the old one's cache, load and failures.
      *slot = Server();
      slot->usable_since = now;
    }
  }
  if (slot->warmth == nullptr) {
    slot->warmth = &this->warmth[report.name].warmth;
    slot->first_reported_at = now;
  }
  if (changes.is_new || slot->report.software != report.software ||
      slot->software == 0) {
    slot->software = Sha256Prefix(report.software);
  }
  slot->report = report;
  slot->reported_at = now;
  if (slot->id == 0) {
    slot->id = ServerIdOf(report.name);
  }
  if (changes.is_new) {
    this->RestorePause(*slot, now);
  }
  this->NoteSoftware(report.targets, slot->software, now);
  const TimePoint sent = now - report.relayed_for;
  const bool is_replaced =
      report.started > std::chrono::milliseconds(0) &&
      report.started <= this->warmth.at(report.name).replaced;
  if (!is_replaced) {
    slot->warmth->NoteReport(sent, report.cold_for, now);
  }
  const auto reopened_at = this->reopened.find(report.data_centre);
  if (reopened_at != this->reopened.end()) {
    slot->warmth->NoteReopened(reopened_at->second, this->limits.doubt, now);
  }
  slot->warmth->NoteStart(this->start, this->start + this->limits.start_doubt,
                          now);
  const TimePoint lease_until = sent + this->limits.lease;
  slot->lease_until = std::max(slot->lease_until, lease_until);
  slot->load_measured = now - report.age;
  slot->DropSentBefore(slot->load_measured);
  this->Index(*slot);
  return changes;
}

void ServerTable::NoteSoftware(const std::vector<std::string>& targets,
                               std::uint64_t software,
                               TimePoint now) {
  for (const std::string& target : targets) {
    SoftwareWatch& watch = this->software_seen[target];
    if (watch.seen.empty() || now - watch.last_report > this->limits.lease) {
      watch.since = now;
    }
    watch.last_report = now;
    watch.seen[software] = now;
  }
}

std::optional<std::uint64_t> ServerTable::SoleSoftware(
    const std::string& target,
    TimePoint now) const {
  const auto found = this->software_seen.find(target);
  if (found == this->software_seen.end()) {
    return std::nullopt;
  }
  const SoftwareWatch& watch = found->second;
  const auto span = this->limits.software_span;
  if (now - watch.since < span ||
      now - watch.last_report > this->limits.lease) {
    return std::nullopt;
  }
  std::optional<std::uint64_t> sole;
  for (const auto& [software, at] : watch.seen) {
    if (now - at > span) {
      continue;
    }
    if (sole) {
      return std::nullopt;
    }
    sole = software;
  }
  return sole;
}

std::vector<BackendServerName> ServerTable::Expire(TimePoint now) {
  std::vector<BackendServerName> expired;
  for (const auto& [name, server] : this->servers) {
    const bool has_lapsed = server->lease_until <= now;
    const bool is_last_resort =
        server->lease_until + this->limits.lapsed > now &&
        server->failures == 0 && !server->report.leaving;
    if (has_lapsed && !is_last_resort) {
      expired.push_back(name);
    }
  }
  for (const BackendServerName& name : expired) {
    const Server& server = *this->servers.at(name);
    if (server.paused_until && *server.paused_until > now) {
      this->paused[name] = {server.report.started, *server.paused_until};
    }
    this->Unindex(server);
    const auto at =
        this->by_address.find({server.report.address, server.report.port});
    if (at != this->by_address.end() && at->second == name) {
      this->by_address.erase(at);
    }
    this->servers.erase(name);
  }
  std::erase_if(this->warmth, [&](const auto& entry) {
    return !this->servers.contains(entry.first) &&
           entry.second.warmth.IsForgettable(now);
  });
  for (auto* const processes : {&this->departed, &this->paused}) {
    std::erase_if(*processes, [&](const auto& process) {
      return process.second.until <= now;
    });
  }
  for (auto& [target, watch] : this->software_seen) {
    std::erase_if(watch.seen, [&](const auto& version) {
      return now - version.second > this->limits.software_span;
    });
  }
  std::erase_if(this->software_seen,
                [](const auto& target) { return target.second.seen.empty(); });
  return expired;
}

std::optional<ServerChoice> ServerTable::Pick(const ServerQuery& query,
                                              TimePoint now,
                                              RandomSource& random) const {
  std::vector<Candidate> usable = this->Candidates(query, false, now);
  if (usable.empty() && this->limits.lapsed.count() > 0) {
    usable = this->Candidates(query, true, now);
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  std::vector<PlacementOption> options;
  options.reserve(usable.size());
  for (const Candidate& candidate : usable) {
    const Duration misplaced =
        candidate.is_misplaced ? query.pause_allowance : Duration::zero();
    options.push_back({candidate.server->report.name.Text(),
                       candidate.wait + misplaced, candidate.cost + misplaced,
                       candidate.speed});
  }
  PromptGroup group;
  group.digest = query.affinity;
  if (this->HasSharedLoads(now)) {
    group.prefill_time = Seconds(static_cast<double>(query.affinity_tokens) /
                                 this->limits.shared_prefill_rate);
    group.max_extra_prefills = kMaxExtraPrefillsShared;
  } else {
    group.prefill_time = Seconds(static_cast<double>(query.affinity_tokens) /
                                 this->limits.prefill_rate);
  }
  const Placement placement = Place(options, group, random);
  const Candidate& chosen = usable[placement.option];
  const ServerReport& report = chosen.server->report;
  const bool corrects =
      this->HasSharedLoads(now) && query.pause_allowance.count() > 0;
  const auto known = this->loads.find(query.target);
  const TokenCount prefill_tokens =
      this->PrefillTokens(*chosen.server, query, placement.is_owner, now);
  const double prefill_rate = this->HasSharedLoads(now)
                                  ? this->limits.shared_prefill_rate
                                  : this->PrefillRate(*chosen.server);
  const Duration prefill = Seconds(static_cast<double>(prefill_tokens) /
                                   prefill_rate / chosen.speed);
  const double ratio = corrects && known != this->loads.end()
                           ? known->second.DelayRatio(now)
                           : 1;
  return ServerChoice{report.name,
                      report.address,
                      report.port,
                      chosen.cost,
                      chosen.server->own_running,
                      chosen.slot_wait,
                      std::chrono::duration_cast<Duration>(chosen.wait * ratio),
                      chosen.wait + prefill,
                      prefill_tokens,
                      prefill,
                      this->RunTime(*chosen.server, query),
                      report.software,
                      chosen.server->software,
                      report.started,
                      chosen.server->warmth->IsCold(now),
                      query.cold_allowance != nullptr};
}

std::vector<ServerTable::Candidate> ServerTable::Candidates(
    const ServerQuery& query,
    bool lapsed,
    TimePoint now) const {
  std::vector<Candidate> usable;
  const auto servers_of = this->by_target.find(query.target);
  if (servers_of == this->by_target.end()) {
    return usable;
  }
  const bool has_shared_loads = this->HasSharedLoads(now);
  const auto load = this->loads.find(query.target);
  const double long_share = has_shared_loads && load != this->loads.end()
                                ? load->second.pool.Share()
                                : 0;
  usable.reserve(servers_of->second.size());
  for (const Server* server : servers_of->second) {
    const bool was_tried =
        !query.tried.empty() && query.tried.contains(server->report.name);
    const bool is_closed = query.closed != nullptr &&
                           query.closed->contains(server->report.data_centre);
    const bool is_at_limit = server->limit &&
                             now - server->limit_heard <= kLimitLife &&
                             server->limit->LevelAt(now) < 1;
    const bool is_other_version =
        query.software && *query.software != server->software;
    if (!was_tried && !is_closed && !is_at_limit && !is_other_version &&
        this->IsUsable(*server, lapsed, now) &&
        this->HasRoom(*server, query.target, now) &&
        HasColdAllowance(*server, query, now)) {
      const Duration slot = this->SlotWaitAt(*server, query.target, now);
      const Duration wait = slot + this->PrefillWaitAt(*server, now);
      const double speed =
          has_shared_loads ? 1 / this->shared.SlownessOf(server->id) : 1;
      const bool is_misplaced =
          long_share > 0 &&
          (server->pool_position < long_share) != query.is_long_prompt;
      usable.push_back({server, slot, wait,
                        wait + this->OwnCost(*server, query), speed,
                        is_misplaced});
    }
  }
  return usable;
}

bool ServerTable::HasRoom(const Server& server,
                          const std::string& target,
                          TimePoint now) const {
  const bool is_brittle =
      server.brittle_heard && now - *server.brittle_heard <= kLimitLife;
  const bool has_slot =
      !is_brittle || this->SlotWaitAt(server, target, now) == Duration::zero();
  return has_slot && server.gate.MaySend(now);
}

bool ServerTable::HasColdAllowance(const Server& server,
                                   const ServerQuery& query,
                                   TimePoint now) {
  return !query.cold_allowance || !server.warmth->IsCold(now) ||
         server.warmth->MaySend(query.cold_allowance(server.report.name), now);
}

void ServerTable::NoteWork(const ServerQuery& query,
                           const ServerChoice& choice,
                           TimePoint now) {
  const Server* const server = this->Find(choice.name);
  if (!this->limits.shares_loads || query.pause_allowance == Duration::zero() ||
      server == nullptr) {
    return;
  }
  // Each decode step serves all slots of an engine.
  const double output = static_cast<double>(query.output_tokens) /
                        this->DecodeRate(*server) /
                        std::max(1U, server->report.slots);
  this->loads[query.target].pool.NoteWork(
      query.is_long_prompt, choice.prefill + Seconds(output), now);
}

void ServerTable::SetPoolPositions(TimePoint now) {
  for (const auto& [target, servers_of] : this->by_target) {
    std::vector<Server*> order;
    for (Server* server : servers_of) {
      if (this->IsServing(*server, false, now)) {
        order.push_back(server);
      }
    }
    std::sort(order.begin(), order.end(), [](const Server* a, const Server* b) {
      return std::pair(a->id, a->report.port) <
             std::pair(b->id, b->report.port);
    });
    double total = 0;
    for (const Server* server : order) {
      total += 1 / this->shared.SlownessOf(server->id);
    }
    double before = 0;
    for (Server* server : order) {
      const double speed = 1 / this->shared.SlownessOf(server->id);
      server->pool_position = (before + speed / 2) / total;
      before += speed;
    }
  }
}

std::optional<ServerBelief> ServerTable::Belief(const BackendServerName& name,
                                                TimePoint now) const {
  const auto found = this->servers.find(name);
  if (found == this->servers.end()) {
    return std::nullopt;
  }
  const Server& server = *found->second;
  const auto doubt = server.warmth->Doubt(now);
  return ServerBelief{server.report.started,
                      server.report.sequence,
                      now - server.reported_at,
                      server.warmth->IsCold(now),
                      doubt ? std::optional(now - doubt->last) : std::nullopt,
                      server.warmth->SentLately(now)};
}

void ServerTable::NoteSent(const BackendServerName& name,
                           TokenCount prompt_tokens,
                           TimePoint now) {
  Server* const found = this->Find(name);
  if (found == nullptr) {
    return;
  }
  Server& server = *found;
  if (server.own_running == 0) {
    server.silent_since = now;
  }
  server.own_running += 1;
  server.pending_prefill += prompt_tokens;
  server.sent.push_back(now);
  server.warmth->NoteSent(now);
  if (server.limit) {
    server.limit->FillTo(now);
    server.limit->level = std::max(0.0, server.limit->level - 1);
  }
  server.gate.NoteSent();
}

void ServerTable::ReturnAllowance(const BackendServerName& name) {
  Server* const server = this->Find(name);
  if (server == nullptr) {
    return;
  }
  server->warmth->ReturnSent();
  if (server->limit) {
    server->limit->level += 1;
  }
}

StatementChanges ServerTable::NoteStatement(const ServerChoice& chosen,
                                            const ServerStatement& statement,
                                            TimePoint now,
                                            RandomSource& random) {
  StatementChanges changes;
  if (statement.leaving) {
    this->NoteDeparted(chosen.name, chosen.started, now);
  }
  Server* const found = this->Find(chosen.name);
  if (found == nullptr || found->report.started != chosen.started) {
    return changes;
  }
  Server& server = *found;
  changes.leaving = statement.leaving && !server.report.leaving;
  server.report.leaving = server.report.leaving || statement.leaving;
  const bool was_accepted = statement.acceptance == Acceptance::kAccepted;
  // An answer that was not run may lack a field and says nothing then.
  const auto is_said = [&](const RateStatement& rate) {
    return rate.is_made && (rate.per_kilosecond || was_accepted);
  };
  if (is_said(statement.limit)) {
    changes.limit = this->NoteLimit(
        {chosen.name, statement.limit.per_kilosecond, now}, now);
  }
  if (is_said(statement.tolerance)) {
    changes.tolerance = this->ApplyTolerance(server, statement.tolerance, now);
  }
  if (statement.acceptance == Acceptance::kRejected && server.brittle_heard) {
    server.gate.NoteRejected(now);
  }
  if (was_accepted && server.gate.NoteAccepted() && server.paused_until) {
    server.paused_until.reset();
    server.usable_since = now;
  }
  if (statement.pause) {
    ApplyPause(server, *statement.pause, now, random);
    changes.paused_until = server.paused_until;
  }
  return changes;
}

void ServerTable::ApplyPause(Server& server,
                             std::chrono::milliseconds pause,
                             TimePoint now,
                             RandomSource& random) {
  const auto spread = std::min(pause / kReturnSpreadPart, kMaxReturnSpread);
  const std::chrono::milliseconds extra(
      random.Below(static_cast<std::uint64_t>(spread.count()) + 1));
  const TimePoint until = now + pause + extra;
  server.paused_until = std::max(server.paused_until.value_or(until), until);
  server.gate.PauseUntil(until);
}

void ServerTable::RestorePause(Server& server, TimePoint now) {
  const auto process = this->paused.find(server.report.name);
  if (process == this->paused.end()) {
    return;
  }
  const auto [started, until] = process->second;
  this->paused.erase(process);
  if (started == server.report.started && until > now) {
    server.paused_until = until;
    server.gate.PauseUntil(until);
  }
}

bool ServerTable::ApplyTolerance(Server& server,
                                 const RateStatement& tolerance,
                                 TimePoint now) {
  const bool was_brittle = server.brittle_heard.has_value();
  if (!tolerance.per_kilosecond) {
    server.brittle_heard.reset();
    return was_brittle;
  }
  server.brittle_heard = now;
  server.gate.SetTolerance(*tolerance.per_kilosecond,
                           std::max<std::size_t>(1, this->sharers.size()));
  return !was_brittle;
}

bool ServerTable::MaySendTo(const ServerChoice& chosen, TimePoint now) const {
  const auto process = this->departed.find(chosen.name);
  if (process != this->departed.end() &&
      chosen.started <= process->second.started) {
    return false;
  }
  const auto found = this->servers.find(chosen.name);
  if (found == this->servers.end()) {
    // A server with another name may listen at the address by now.
    const auto holder = this->by_address.find({chosen.address, chosen.port});
    if (holder != this->by_address.end() && holder->second != chosen.name) {
      return false;
    }
    const auto pause = this->paused.find(chosen.name);
    return pause == this->paused.end() || pause->second.until <= now ||
           pause->second.started != chosen.started;
  }
  const Server& server = *found->second;
  const bool turned_cold =
      chosen.limits_cold && !chosen.is_cold && server.warmth->IsCold(now);
  return !server.report.leaving && !turned_cold &&
         (!server.paused_until || *server.paused_until <= now);
}

bool ServerTable::NoteLimit(const ServerLimit& limit, TimePoint now) {
  Server* const server = this->Find(limit.server);
  if (server == nullptr || limit.heard < server->limit_heard) {
    return false;
  }
  server->limit_heard = limit.heard;
  const bool had_limit = server->limit.has_value();
  if (!limit.per_kilosecond) {
    if (had_limit) {
      server->limit.reset();
      server->limit_ended = now;
    }
    return had_limit;
  }
  if (!had_limit) {
    server->limit_ended.reset();
    server->limit = LimitBucket();
    server->limit->filled = now;
  }
  LimitBucket& bucket = *server->limit;
  if (!had_limit || bucket.per_kilosecond != *limit.per_kilosecond) {
    bucket.FillTo(now);
    bucket.per_kilosecond = *limit.per_kilosecond;
    bucket.share = this->LimitShare(limit.server, bucket.per_kilosecond);
  }
  return !had_limit;
}

std::vector<ServerLimit> ServerTable::Limits(TimePoint now) const {
  std::vector<ServerLimit> known;
  for (const auto& [name, server] : this->servers) {
    if (server->limit && now - server->limit_heard <= kLimitLife) {
      known.push_back(
          {name, server->limit->per_kilosecond, server->limit_heard});
    } else if (server->limit_ended &&
               now - *server->limit_ended <= kLimitLife) {
      known.push_back({name, std::nullopt, server->limit_heard});
    }
  }
  return known;
}

void ServerTable::SetSharers(const HostName& own, std::vector<HostName> hosts) {
  std::sort(hosts.begin(), hosts.end());
  if (own == this->self && hosts == this->sharers) {
    return;
  }
  this->self = own;
  this->sharers = std::move(hosts);
  for (const auto& [name, server] : this->servers) {
    if (server->limit) {
      server->limit->share =
          this->LimitShare(name, server->limit->per_kilosecond);
    }
  }
}

double ServerTable::LimitShare(const BackendServerName& name,
                               std::uint64_t per_kilosecond) const {
  const double rate =
      std::max(kMinLimit, static_cast<double>(per_kilosecond) / kPerKilosecond);
  const std::size_t owners =
      std::clamp(static_cast<std::size_t>(rate), kMinOwners,
                 std::max(kMinOwners, this->sharers.size()));
  const bool is_owner =
      this->sharers.empty() || IsAmongOwners(RendezvousKey(name.Text()),
                                             this->self, this->sharers, owners);
  const std::size_t active =
      std::max<std::size_t>(1, std::min(owners, this->sharers.size()));
  return is_owner ? rate / static_cast<double>(active) : 0;
}

std::optional<Duration> ServerTable::AllowanceWait(const Server& server,
                                                   TimePoint now) {
  std::optional<Duration> wait;
  if (server.limit && server.limit->share > 0) {
    const double missing = std::max(0.0, 1 - server.limit->LevelAt(now));
    wait = Seconds(missing / server.limit->share);
  }
  const auto gate = server.gate.Wait(now);
  if (gate && *gate > Duration::zero()) {
    wait = std::max(wait.value_or(Duration::zero()), *gate);
  }
  return wait;
}

std::optional<Duration> ServerTable::NextAllowance(const std::string& target,
                                                   TimePoint now) const {
  std::optional<Duration> next;
  const auto servers_of = this->by_target.find(target);
  if (servers_of == this->by_target.end()) {
    return next;
  }
  for (const Server* server : servers_of->second) {
    const auto wait = this->IsServing(*server, false, now)
                          ? AllowanceWait(*server, now)
                          : std::nullopt;
    if (wait) {
      next = next ? std::min(*next, *wait) : *wait;
    }
  }
  return next;
}

double ServerTable::TargetLoad::DelayRatio(TimePoint now) const {
  const double ratio = std::clamp(this->actual_first / this->expected_first,
                                  1.0, kMaxDelayRatio);
  const double age = std::chrono::duration<double>(now - this->delay_at) /
                     std::chrono::duration<double>(kDelayLife);
  return 1 + (ratio - 1) * std::exp(-std::max(0.0, age));
}

void ServerTable::NoteFirstDelay(const std::string& target,
                                 const ServerChoice& choice,
                                 Duration actual,
                                 TimePoint now) {
  const auto average = [](double& known, Duration sample) {
    const double seconds = std::chrono::duration<double>(sample).count();
    known += (std::max(seconds, kMinFirst) - known) / kDelayWeight;
  };
  TargetLoad& load = this->loads[target];
  average(load.expected_first, choice.plain_first);
  average(load.actual_first, actual);
  load.delay_at = now;
}

void ServerTable::NoteFirstOutput(const BackendServerName& name,
                                  TokenCount prompt_tokens) {
  Server* const server = this->Find(name);
  if (server != nullptr) {
    server->pending_prefill =
        std::max<TokenCount>(0, server->pending_prefill - prompt_tokens);
  }
}

std::vector<ServerEndpoint> ServerTable::Endpoints(TimePoint now) const {
  std::vector<ServerEndpoint> endpoints;
  for (const auto& [name, server] : this->servers) {
    if (!server->report.leaving && server->lease_until > now) {
      endpoints.push_back({name, server->report.address, server->report.port});
    }
  }
  std::sort(endpoints.begin(), endpoints.end(),
            [](const ServerEndpoint& a, const ServerEndpoint& b) {
              return a.name < b.name;
            });
  return endpoints;
}

void ServerTable::ForgiveFailures(TimePoint now) {
  for (const auto& [name, server] : this->servers) {
    if (server->failures > 0) {
      server->failures = 0;
      server->ejected_until = now;
      server->usable_since = now - this->limits.ramp;
    }
    server->broken_responses = 0;
  }
}

bool ServerTable::IsLeaving(const BackendServerName& name) const {
  const auto found = this->servers.find(name);
  return found == this->servers.end() ? this->departed.contains(name)
                                      : found->second->report.leaving;
}

void ServerTable::NotePauses(const BackendServerName& name,
                             std::uint32_t events,
                             Duration sum) {
  const Server* const server = this->Find(name);
  if (server != nullptr) {
    this->shared.NotePauses(server->id, events, sum);
  }
}

LoadReport ServerTable::MakeLoadReport(TimePoint now) {
  std::vector<ServerUse> own;
  for (const auto& [name, server] : this->servers) {
    if (server->own_running > 0 || server->pending_prefill > 0) {
      ServerUse use;
      use.server = server->id;
      use.running = server->own_running;
      use.pending_prefill = server->pending_prefill;
      own.push_back(use);
    }
  }
  return this->shared.MakeReport(std::move(own), now);
}

void ServerTable::ApplyLoads(const LoadSummary& summary, TimePoint now) {
  std::vector<std::vector<std::uint32_t>> groups;
  for (const auto& [target, servers_of] : this->by_target) {
    std::vector<std::uint32_t>& group = groups.emplace_back();
    for (const Server* server : servers_of) {
      group.push_back(server->id);
    }
  }
  this->shared.Accept(summary, groups);
  this->SetPoolPositions(now);
}

SharedLoadState ServerTable::LoadState(TimePoint now) const {
  SharedLoadState state;
  state.is_fresh = this->HasSharedLoads(now);
  if (state.is_fresh) {
    state.slow_servers = static_cast<std::uint32_t>(std::count_if(
        this->servers.begin(), this->servers.end(), [&](const auto& entry) {
          return this->shared.SlownessOf(entry.second->id) > kSlow;
        }));
  }
  return state;
}

OwnLoad ServerTable::LoadOf(const std::string& target, TimePoint now) const {
  OwnLoad load;
  const auto servers_of = this->by_target.find(target);
  if (servers_of == this->by_target.end()) {
    return load;
  }
  for (const Server* server : servers_of->second) {
    if (this->IsUsable(*server, false, now)) {
      load.servers += 1;
      load.slots += server->report.slots;
    }
    load.running += server->own_running;
    load.pending_prefill += server->pending_prefill;
  }
  return load;
}

void ServerTable::NoteFinished(const BackendServerName& name,
                               HealthSignal signal,
                               TimePoint sent,
                               TimePoint now) {
  Server* const found = this->Find(name);
  if (found == nullptr) {
    return;
  }
  Server& server = *found;
  server.own_running -= std::min(server.own_running, 1U);
  server.gate.NoteEnded();
  switch (signal) {
    case HealthSignal::kAnswered:
      server.failures = 0;
      server.broken_responses = 0;
      server.last_alive = now;
      server.silent_since = now;
      break;
    case HealthSignal::kUnreachable:
      this->Eject(server, signal, sent, now);
      break;
    case HealthSignal::kBroken:
      server.broken_responses += 1;
      if (server.broken_responses >= kBreaksToEject || server.failures > 0) {
        this->Eject(server, signal, sent, now);
      }
      break;
    case HealthSignal::kSilent:
      if (server.last_alive <= sent) {
        this->Eject(server, signal, sent, now);
      }
      break;
    case HealthSignal::kInconclusive:
      break;
  }
}

void ServerTable::NoteAlive(const BackendServerName& name,
                            TimePoint opened,
                            TimePoint now) {
  Server* const server = this->Find(name);
  if (server != nullptr) {
    server->last_alive = now;
    server->silent_since = now;
    server->warmth->NoteBytes(opened, now);
  }
}

void ServerTable::NoteLostConnection(const ServerChoice& chosen,
                                     TimePoint opened,
                                     TimePoint now) {
  Server* const server = this->Find(chosen.name);
  // A connection to the former process says nothing about its successor.
  const bool is_of_former = server == nullptr ||
                            server->report.started != chosen.started ||
                            opened < server->first_reported_at;
  if (!is_of_former && this->Doubt(*server, now, now)) {
    WarmthRecord& record = this->warmth.at(chosen.name);
    record.seen = now;
    record.is_due = true;
  }
}

void ServerTable::NoteRefusedConnection(const ServerChoice& chosen,
                                        TimePoint now) {
  const Server* const server = this->Find(chosen.name);
  // The refused request still counts as running.
  if (server != nullptr && server->own_running <= 1) {
    this->NoteLostConnection(chosen, now, now);
  }
}

bool ServerTable::Doubt(Server& server, TimePoint at, TimePoint now) const {
  return server.warmth->NoteSigns({at, at}, this->limits.doubt, now);
}

bool ServerTable::NoteDoubt(const ServerDoubt& doubt, TimePoint now) {
  const Server* const server = this->Find(doubt.server);
  const bool is_of_former = server != nullptr &&
                            doubt.started != std::chrono::milliseconds(0) &&
                            doubt.started < server->report.started;
  if (is_of_former) {
    return false;
  }
  WarmthRecord& record = this->warmth[doubt.server];
  record.told = std::max(record.told, doubt.signs.last);
  if (doubt.is_replaced) {
    record.replaced = std::max(record.replaced, doubt.started);
  }
  return record.warmth.NoteSigns(doubt.signs, this->limits.doubt, now);
}

std::vector<ServerDoubt> ServerTable::TakeDoubts(TimePoint now) {
  std::vector<ServerDoubt> due;
  for (const auto& [name, server] : this->servers) {
    WarmthRecord& record = this->warmth.at(name);
    const auto doubt = record.warmth.Doubt(now);
    const bool is_told = doubt && record.told >= doubt->first &&
                         doubt->last - record.told < kTellAgain;
    if (std::exchange(record.is_due, false) && doubt && !is_told) {
      record.told = doubt->last;
      due.push_back({name, server->report.started, *doubt});
    }
  }
  return due;
}

std::vector<ServerDoubt> ServerTable::OwnDoubts(TimePoint now) const {
  std::vector<ServerDoubt> own;
  for (const auto& [name, server] : this->servers) {
    const WarmthRecord& record = this->warmth.at(name);
    const auto doubt = record.warmth.Doubt(now);
    if (doubt && record.seen && *record.seen >= doubt->first) {
      own.push_back(
          {name, server->report.started, {doubt->first, *record.seen}});
    }
  }
  return own;
}

void ServerTable::SetClosed(const std::set<DataCentreName>& data_centres,
                            TimePoint now) {
  for (const DataCentreName& data_centre : this->closed) {
    if (!data_centres.contains(data_centre)) {
      this->reopened[data_centre] = now;
      for (const auto& [name, server] : this->servers) {
        if (server->report.data_centre == data_centre) {
          server->warmth->NoteReopened(now, this->limits.doubt, now);
        }
      }
    }
  }
  this->closed = data_centres;
}

void ServerTable::Eject(Server& server,
                        HealthSignal signal,
                        TimePoint sent,
                        TimePoint now) {
  if (server.failures > 0 && sent < server.ejected_until) {
    return;
  }
  const auto doubled = this->limits.base_ejection *
                       (1U << std::min<std::uint32_t>(server.failures, 16));
  const Duration ejection =
      std::min<Duration>(doubled, this->limits.max_ejection);
  server.failures += 1;
  server.broken_responses = 0;
  server.ejected_until = now + ejection;
  server.usable_since = server.ejected_until;
  server.prefixes.clear();
  server.prefix_order.clear();
  // The process that failed may have been replaced already, and one that runs
  // other requests may have refused a connection because it has too many.
  const bool is_full =
      signal == HealthSignal::kUnreachable && server.own_running > 0;
  if (sent >= server.first_reported_at && !is_full) {
    // A loaded server is late, too: what it has reported since the request was
    // sent shows it warm.
    this->Doubt(server, signal == HealthSignal::kBroken ? now : sent, now);
  }
}

void ServerTable::NotePrefix(const BackendServerName& name,
                             std::uint64_t prefix) {
  Server* const found = this->Find(name);
  if (found == nullptr || prefix == 0) {
    return;
  }
  Server& server = *found;
  if (!server.prefixes.insert(prefix).second) {
    return;
  }
  server.prefix_order.push_back(prefix);
  if (server.prefix_order.size() > this->limits.prefixes) {
    server.prefixes.erase(server.prefix_order.front());
    server.prefix_order.pop_front();
  }
}

std::uint32_t ServerTable::Slots(const std::string& target,
                                 TimePoint now) const {
  const auto candidates = this->by_target.find(target);
  if (candidates == this->by_target.end()) {
    return 0;
  }
  std::uint32_t slots = 0;
  for (const Server* server : candidates->second) {
    if (this->IsUsable(*server, false, now)) {
      // A cold server sustains a few requests per second only, however many
      // slots it has.
      slots += server->warmth->IsCold(now)
                   ? 1
                   : std::min(this->RampedSlots(*server, now),
                              this->SlotsWithinLimit(*server, target));
    }
  }
  return slots;
}

bool ServerTable::IsUsable(const Server& server,
                           bool lapsed,
                           TimePoint now) const {
  const bool is_paused = server.paused_until && *server.paused_until > now;
  return !is_paused && this->IsServing(server, lapsed, now);
}

bool ServerTable::IsServing(const Server& server,
                            bool lapsed,
                            TimePoint now) const {
  const bool has_lease = lapsed || server.lease_until > now;
  if (server.report.leaving || !has_lease || server.ejected_until > now) {
    return false;
  }
  const bool is_silent = this->limits.silence.count() > 0 &&
                         server.own_running > 0 &&
                         now - server.silent_since > this->limits.silence;
  if (is_silent) {
    return false;
  }
  // After an ejection a server is probed with one request at a time, until it
  // responds.
  return server.failures == 0 || server.own_running == 0;
}

std::uint32_t ServerTable::SlotsWithinLimit(const Server& server,
                                            const std::string& target) const {
  if (!server.limit) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  const auto known = this->loads.find(target);
  const double run =
      known == this->loads.end()
          ? 0
          : std::chrono::duration<double>(known->second.run).count();
  const double running = std::max(1.0, run) *
                         static_cast<double>(server.limit->per_kilosecond) /
                         kPerKilosecond;
  return static_cast<std::uint32_t>(
      std::clamp(std::ceil(running), 1.0, kMaxSlots));
}

std::uint32_t ServerTable::RampedSlots(const Server& server,
                                       TimePoint now) const {
  const auto since = now - server.usable_since;
  if (since >= this->limits.ramp || this->limits.ramp.count() == 0) {
    return server.report.slots;
  }
  const double progress = std::chrono::duration<double>(since) /
                          std::chrono::duration<double>(this->limits.ramp);
  const double ramped = std::ceil(progress * server.report.slots);
  return std::max(1U, static_cast<std::uint32_t>(ramped));
}

double ServerTable::PrefillRate(const Server& server) const {
  return server.report.prefill_rate > 0 ? server.report.prefill_rate
                                        : this->limits.prefill_rate;
}

double ServerTable::DecodeRate(const Server& server) const {
  return server.report.decode_rate > 0 ? server.report.decode_rate
                                       : this->limits.decode_rate;
}

Duration ServerTable::SlotWaitAt(const Server& server,
                                 const std::string& target,
                                 TimePoint now) const {
  if (this->HasSharedLoads(now)) {
    return this->SharedSlotWaitAt(server, target, now);
  }
  Duration run =
      Seconds(static_cast<double>(kTypicalOutput) / this->DecodeRate(server));
  double peers = 0;
  const auto known = this->loads.find(target);
  if (known != this->loads.end()) {
    const auto servers = static_cast<double>(this->by_target.at(target).size());
    peers = static_cast<double>(known->second.peers) / servers;
    run = known->second.run == Duration::zero() ? run : known->second.run;
  }
  // The reported load already includes the requests of other hosts, so the
  // larger estimate is used instead of the sum.
  const double load =
      std::max(server.Load(), static_cast<double>(server.own_running) + peers);
  return SlotWait(load, this->RampedSlots(server, now), run);
}

bool ServerTable::HasSharedLoads(TimePoint now) const {
  return this->limits.shares_loads && this->shared.IsFresh(now);
}

double ServerTable::SharedLoadOn(const Server& server) const {
  return static_cast<double>(this->shared.OthersOn(server.id).running) +
         server.own_running;
}

Duration ServerTable::SharedSlotWaitAt(const Server& server,
                                       const std::string& target,
                                       TimePoint now) const {
  const auto known = this->loads.find(target);
  const Duration run =
      known == this->loads.end() || known->second.run == Duration::zero()
          ? Seconds(static_cast<double>(kTypicalOutput) /
                    this->DecodeRate(server))
          : known->second.run;
  // A slow server takes fewer requests at a time before its streams pause.
  const double slowness = std::max(1.0, this->shared.SlownessOf(server.id));
  return SlotWait(this->SharedLoadOn(server),
                  std::max(1.0, this->RampedSlots(server, now) / slowness),
                  run);
}

Duration ServerTable::SharedPrefillWaitAt(const Server& server,
                                          TimePoint now) const {
  const double slowness = this->shared.SlownessOf(server.id);
  const auto pending =
      static_cast<double>(server.pending_prefill +
                          this->shared.OthersOn(server.id).pending_prefill);
  const double typical =
      static_cast<double>(kTypicalOutput) / this->DecodeRate(server);
  const double decode_slowdown = this->SharedLoadOn(server) /
                                 std::max(1U, this->RampedSlots(server, now)) *
                                 typical / 10;
  return Seconds(
      (pending / this->limits.shared_prefill_rate + decode_slowdown) *
      slowness);
}

Duration ServerTable::RunTime(const Server& server,
                              const ServerQuery& query) const {
  const auto known = this->loads.find(query.target);
  if (known == this->loads.end()) {
    return Duration::zero();
  }
  const Duration longest = Seconds(static_cast<double>(query.output_tokens) /
                                   this->DecodeRate(server));
  return std::min(longest, known->second.run);
}

TokenCount ServerTable::PrefillTokens(const Server& server,
                                      const ServerQuery& query,
                                      bool is_owner,
                                      TimePoint now) const {
  if (!this->HasSharedLoads(now)) {
    return query.prompt_tokens;
  }
  const TokenCount cached = std::max(server.CachedTokens(query.prefix_blocks),
                                     is_owner ? query.affinity_tokens : 0);
  return std::max<TokenCount>(0, query.prompt_tokens - cached);
}

Duration ServerTable::PrefillWaitAt(const Server& server, TimePoint now) const {
  if (this->HasSharedLoads(now)) {
    return this->SharedPrefillWaitAt(server, now);
  }
  const double typical =
      static_cast<double>(kTypicalOutput) / this->DecodeRate(server);
  // An engine prefills one prompt at a time.
  const double prefill =
      static_cast<double>(server.pending_prefill) / this->PrefillRate(server);
  // Concurrent streams slow each other's decoding before any request queues.
  const double decode_slowdown =
      server.Load() / this->RampedSlots(server, now) * typical / 10;
  return Seconds(prefill + decode_slowdown);
}

Duration ServerTable::OwnCost(const Server& server,
                              const ServerQuery& query) const {
  const bool cached = query.prefix != 0 && !server.prefixes.empty() &&
                      server.prefixes.contains(query.prefix);
  const TokenCount cached_tokens = server.CachedTokens(query.prefix_blocks);
  const double prompt =
      static_cast<double>(query.prompt_tokens - cached_tokens) *
      (cached ? 1 - kCachedShare : 1);
  Duration cost = Seconds(prompt / this->PrefillRate(server) +
                          static_cast<double>(query.output_tokens) /
                              this->DecodeRate(server));
  if (server.report.data_centre != query.data_centre) {
    cost += this->limits.other_data_centre;
  }
  return cost;
}

void ServerTable::NoteRun(const std::string& target, Duration run) {
  Duration& known = this->loads[target].run;
  known = known == Duration::zero() ? run
                                    : known + (run - known) / kRunAverageWeight;
}

void ServerTable::SetPeerLoad(const std::string& target,
                              std::uint32_t running) {
  this->loads[target].peers = running;
}

void ServerTable::Index(Server& server) {
  for (const std::string& target : server.report.targets) {
    this->by_target[target].push_back(&server);
  }
}

void ServerTable::Unindex(const Server& server) {
  for (const std::string& target : server.report.targets) {
    std::erase(this->by_target[target], &server);
  }
}

}  // namespace tamarackwing::policy
