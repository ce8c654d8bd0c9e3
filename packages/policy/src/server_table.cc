#include "tamarackwing/policy/server_table.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_set>
#include <utility>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/policy/admission.h"
#include "tamarackwing/policy/placement.h"

namespace tamarackwing::policy {
namespace {

//! The part of a prompt that a cached prefix is taken to cover.
constexpr double kCachedPart = 0.8;
constexpr TokenCount kTypicalOutput = 128;
//! A single broken answer may be the request's fault, or the network's.
constexpr std::uint32_t kBreaksToSetAside = 2;
//! Requests over which their running time is averaged.
constexpr int kRunsAveraged = 32;
//! The span in which what a cold server gets is counted.
constexpr std::chrono::seconds kColdSpan{1};

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

struct ServerTable::Server {
  ServerReport report;
  TimePoint lease_until;
  //! When the figures of the last report were taken.
  TimePoint figures_from;
  //! When it came, or came back from being set aside.
  TimePoint usable_since;
  TimePoint ejected_until;
  std::uint32_t failures = 0;
  //! Broken answers since the last whole one.
  std::uint32_t suspicions = 0;
  //! When bytes last came from it.
  TimePoint alive;
  //! Since when it holds requests without a sign of life.
  TimePoint awaited_since;
  std::uint32_t own_running = 0;
  //! Prompt tokens sent by this host that have not had their first output.
  TokenCount pending_prefill = 0;
  TimePoint cold_until;
  std::deque<TimePoint> cold_sends;
  std::deque<TimePoint> sent;
  std::deque<std::uint64_t> prefix_order;
  std::unordered_set<std::uint64_t> prefixes;

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

  //! Tokens of the leading parts that this server is taken to keep.
  TokenCount KeptTokens(const std::vector<PrefixBlock>& prefix_blocks) const {
    TokenCount kept = 0;
    for (const PrefixBlock& part : prefix_blocks) {
      if (!this->prefixes.contains(part.digest)) {
        break;
      }
      kept += part.tokens;
    }
    return kept;
  }
};

ServerTable::ServerTable(ServerTableLimits limits) : limits(limits) {}
ServerTable::~ServerTable() = default;
ServerTable::ServerTable(ServerTable&&) noexcept = default;

ServerTable::Server* ServerTable::Find(const BackendServerName& name) {
  const auto found = this->servers.find(name);
  return found == this->servers.end() ? nullptr : found->second.get();
}

void ServerTable::Leave(const ServerReport& report) {
  Server* const known = this->Find(report.name);
  const auto zero = std::chrono::milliseconds(0);
  if (known == nullptr) {
    return;
  }
  ServerReport& last = known->report;
  if (report.started == zero || report.started == last.started) {
    last.leaving = true;
  }
}

bool ServerTable::IsOvertaken(const ServerReport& report) const {
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
  // A process that has said that it leaves does not come back.
  const bool comes_back = last.leaving && !report.leaving &&
                          report.started > std::chrono::milliseconds(0);
  const bool is_late = report.sequence != 0 && report.sequence < last.sequence;
  return comes_back || is_late;
}

void ServerTable::TakeAddress(const ServerReport& report) {
  if (report.address.empty()) {
    return;
  }
  const std::pair place(report.address, report.port);
  const auto at = this->by_address.find(place);
  if (at != this->by_address.end() && at->second != report.name) {
    const auto replaced = this->servers.find(at->second);
    if (replaced != this->servers.end()) {
      this->Unindex(*replaced->second);
      this->servers.erase(replaced);
    }
  }
  this->by_address[place] = report.name;
}

bool ServerTable::Announce(const ServerReport& report, TimePoint now) {
  if (this->IsOvertaken(report)) {
    return false;
  }
  if (report.address.empty() && report.leaving) {
    this->Leave(report);
    return false;
  }
  this->TakeAddress(report);
  std::unique_ptr<Server>& slot = this->servers[report.name];
  const bool is_new = !slot;
  if (is_new) {
    slot = std::make_unique<Server>();
    slot->usable_since = now;
  } else {
    this->Unindex(*slot);
    if (slot->report.started != report.started) {
      // A new process knows nothing of what the old one kept.
      *slot = Server();
      slot->usable_since = now;
    }
  }
  slot->report = report;
  slot->cold_until = now + report.cold_for;
  slot->lease_until = now + this->limits.lease;
  slot->figures_from = now - report.age;
  slot->DropSentBefore(slot->figures_from);
  this->Index(*slot);
  return is_new;
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
    this->Unindex(server);
    const auto at =
        this->by_address.find({server.report.address, server.report.port});
    if (at != this->by_address.end() && at->second == name) {
      this->by_address.erase(at);
    }
    this->servers.erase(name);
  }
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
    options.push_back(
        {candidate.server->report.name.Text(), candidate.wait, candidate.cost});
  }
  const PromptGroup group{query.affinity,
                          Seconds(static_cast<double>(query.affinity_tokens) /
                                  this->limits.prefill_rate)};
  const Candidate& chosen = usable[ChoosePlacement(options, group, random)];
  const ServerReport& report = chosen.server->report;
  return ServerChoice{report.name,
                      report.address,
                      report.port,
                      chosen.cost,
                      chosen.server->own_running,
                      chosen.slot_wait};
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
  usable.reserve(servers_of->second.size());
  for (const Server* server : servers_of->second) {
    const bool was_tried =
        !query.tried.empty() && query.tried.contains(server->report.name);
    const bool is_closed = query.closed != nullptr &&
                           query.closed->contains(server->report.data_centre);
    if (!was_tried && !is_closed && this->IsUsable(*server, lapsed, now) &&
        BearsOneMore(*server, query, now)) {
      const Duration slot = this->SlotWaitAt(*server, query.target, now);
      const Duration wait = slot + this->PrefillWaitAt(*server, now);
      usable.push_back(
          {server, slot, wait, wait + this->OwnCost(*server, query)});
    }
  }
  return usable;
}

bool ServerTable::BearsOneMore(const Server& server,
                               const ServerQuery& query,
                               TimePoint now) {
  if (server.cold_until <= now || !query.cold_allowance) {
    return true;
  }
  const auto recent =
      std::count_if(server.cold_sends.begin(), server.cold_sends.end(),
                    [&](TimePoint sent) { return now - sent <= kColdSpan; });
  return static_cast<std::uint32_t>(recent) <
         query.cold_allowance(server.report.name);
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
    server.awaited_since = now;
  }
  server.own_running += 1;
  server.pending_prefill += prompt_tokens;
  server.sent.push_back(now);
  if (server.cold_until > now) {
    server.cold_sends.push_back(now);
    while (now - server.cold_sends.front() > kColdSpan) {
      server.cold_sends.pop_front();
    }
  }
}

void ServerTable::NoteFirstOutput(const BackendServerName& name,
                                  TokenCount prompt_tokens) {
  Server* const server = this->Find(name);
  if (server != nullptr) {
    server->pending_prefill =
        std::max<TokenCount>(0, server->pending_prefill - prompt_tokens);
  }
}

OwnLoad ServerTable::LoadOf(const std::string& target, TimePoint now) const {
  OwnLoad load;
  const auto servers_of = this->by_target.find(target);
  if (servers_of == this->by_target.end()) {
    return load;
  }
  for (const Server* server : servers_of->second) {
    load.servers += this->IsUsable(*server, false, now) ? 1 : 0;
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
  switch (signal) {
    case HealthSignal::kAnswered:
      server.failures = 0;
      server.suspicions = 0;
      server.alive = now;
      server.awaited_since = now;
      break;
    case HealthSignal::kUnreachable:
      this->Eject(server, sent, now);
      break;
    case HealthSignal::kBroken:
      server.suspicions += 1;
      if (server.suspicions >= kBreaksToSetAside || server.failures > 0) {
        this->Eject(server, sent, now);
      }
      break;
    case HealthSignal::kSilent:
      if (server.alive <= sent) {
        this->Eject(server, sent, now);
      }
      break;
    case HealthSignal::kNothing:
      break;
  }
}

void ServerTable::NoteAlive(const BackendServerName& name, TimePoint now) {
  Server* const server = this->Find(name);
  if (server != nullptr) {
    server->alive = now;
    server->awaited_since = now;
  }
}

void ServerTable::Eject(Server& server, TimePoint sent, TimePoint now) {
  if (server.failures > 0 && sent < server.ejected_until) {
    return;
  }
  const auto doubled = this->limits.base_ejection *
                       (1U << std::min<std::uint32_t>(server.failures, 16));
  const Duration pause = std::min<Duration>(doubled, this->limits.max_ejection);
  server.failures += 1;
  server.suspicions = 0;
  server.ejected_until = now + pause;
  server.usable_since = server.ejected_until;
  server.prefixes.clear();
  server.prefix_order.clear();
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
      // A cold one bears a few requests a second, whatever its slots.
      slots += server->cold_until > now ? 1 : this->RampedSlots(*server, now);
    }
  }
  return slots;
}

bool ServerTable::IsUsable(const Server& server,
                           bool lapsed,
                           TimePoint now) const {
  const bool has_lease = lapsed || server.lease_until > now;
  if (server.report.leaving || !has_lease || server.ejected_until > now) {
    return false;
  }
  const bool is_silent = this->limits.silence.count() > 0 &&
                         server.own_running > 0 &&
                         now - server.awaited_since > this->limits.silence;
  if (is_silent) {
    return false;
  }
  // A server that has failed is probed by one request at a time.
  return server.failures == 0 || server.own_running == 0;
}

std::uint32_t ServerTable::RampedSlots(const Server& server,
                                       TimePoint now) const {
  const auto since = now - server.usable_since;
  if (since >= this->limits.ramp || this->limits.ramp.count() == 0) {
    return server.report.slots;
  }
  const double part = std::chrono::duration<double>(since) /
                      std::chrono::duration<double>(this->limits.ramp);
  const double ramped = std::ceil(part * server.report.slots);
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
  Duration run =
      Seconds(static_cast<double>(kTypicalOutput) / this->DecodeRate(server));
  double peers = 0;
  const auto known = this->loads.find(target);
  if (known != this->loads.end()) {
    const auto servers = static_cast<double>(this->by_target.at(target).size());
    peers = static_cast<double>(known->second.peers) / servers;
    run = known->second.run == Duration::zero() ? run : known->second.run;
  }
  // A report counts what all hosts have there.
  const double load =
      std::max(server.Load(), static_cast<double>(server.own_running) + peers);
  return SlotWait(load, this->RampedSlots(server, now), run);
}

Duration ServerTable::PrefillWaitAt(const Server& server, TimePoint now) const {
  const double typical =
      static_cast<double>(kTypicalOutput) / this->DecodeRate(server);
  // Prompts are read one after another.
  const double reading =
      static_cast<double>(server.pending_prefill) / this->PrefillRate(server);
  // A busy server decodes all its streams a little slower before it queues.
  const double crowding =
      server.Load() / this->RampedSlots(server, now) * typical / 10;
  return Seconds(reading + crowding);
}

Duration ServerTable::OwnCost(const Server& server,
                              const ServerQuery& query) const {
  const bool cached = query.prefix != 0 && !server.prefixes.empty() &&
                      server.prefixes.contains(query.prefix);
  const TokenCount kept = server.KeptTokens(query.prefix_blocks);
  const double prompt = static_cast<double>(query.prompt_tokens - kept) *
                        (cached ? 1 - kCachedPart : 1);
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
  known =
      known == Duration::zero() ? run : known + (run - known) / kRunsAveraged;
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
