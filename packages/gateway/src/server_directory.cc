#include "tamarackwing/gateway/server_directory.h"

#include <algorithm>
#include <utility>

#include "tamarackwing/base/event.h"

namespace tamarackwing::gateway {
namespace {

//! Retries that a target's requests add to its budget, as a percentage of these
//! requests.
constexpr std::uint32_t kRetryPercent = 10;
//! Default size of a target's retry budget.
constexpr std::uint32_t kRetryReserve = 20;

std::string RateText(const std::optional<std::uint64_t>& per_kilosecond) {
  return per_kilosecond ? std::to_string(*per_kilosecond) : "";
}

void LogLimit(const policy::ServerLimit& limit,
              std::string_view source,
              TimePoint now) {
  const auto age =
      std::chrono::ceil<std::chrono::milliseconds>(now - limit.heard);
  LogEvent(Event::kBackendServerLimit, LogLevel::kInfo,
           {{"server", limit.server.Text()},
            {"per_1000_s", RateText(limit.per_kilosecond)},
            {"source", std::string(source)},
            {"age_ms", std::to_string(age.count())}});
}

std::string MillisecondsText(Duration duration) {
  return std::to_string(
      std::chrono::floor<std::chrono::milliseconds>(duration).count());
}

void LogRestart(const policy::ServerReport& report,
                const policy::ProcessChange& change) {
  LogEvent(Event::kBackendServerRestarted, LogLevel::kInfo,
           {{"server", report.name.Text()},
            {"started", MillisecondsText(report.started)},
            {"former", MillisecondsText(change.former)},
            {"sequence", std::to_string(report.sequence)},
            {"cold_ms", MillisecondsText(report.cold_for)},
            {"relayed_ms", MillisecondsText(report.relayed_for)},
            {"silent_ms", MillisecondsText(change.silent)},
            {"sent", std::to_string(change.sent)}});
}

void LogDoubt(const policy::ServerDoubt& doubt,
              std::string_view source,
              TimePoint now) {
  LogEvent(Event::kBackendServerDoubted, LogLevel::kInfo,
           {{"server", doubt.server.Text()},
            {"started", MillisecondsText(doubt.started)},
            {"replaced", doubt.is_replaced ? "yes" : "no"},
            {"source", std::string(source)},
            {"first_age_ms", MillisecondsText(now - doubt.signs.first)},
            {"last_age_ms", MillisecondsText(now - doubt.signs.last)}});
}

void LogChoice(const BackendServerName& server,
               const policy::ServerBelief& belief) {
  LogEvent(Event::kBackendServerChosen, LogLevel::kDebug,
           {{"server", server.Text()},
            {"started", MillisecondsText(belief.started)},
            {"cold", belief.is_cold ? "yes" : "no"},
            {"doubt_age_ms",
             belief.doubt_age ? MillisecondsText(*belief.doubt_age) : ""},
            {"sequence", std::to_string(belief.sequence)},
            {"report_age_ms", MillisecondsText(belief.report_age)},
            {"sent", std::to_string(belief.sent)}});
}

void LogStatement(const BackendServerName& server,
                  const policy::ServerStatement& statement,
                  const policy::StatementChanges& changes,
                  const std::string& request,
                  TimePoint now) {
  if (changes.limit) {
    LogLimit({server, statement.limit.per_kilosecond, now}, "answer", now);
  }
  if (changes.tolerance) {
    LogEvent(Event::kBackendServerBrittle, LogLevel::kInfo,
             {{"server", server.Text()},
              {"per_1000_s", RateText(statement.tolerance.per_kilosecond)}});
  }
  if (changes.leaving) {
    LogEvent(Event::kBackendServerLeft, LogLevel::kInfo,
             {{"server", server.Text()}, {"request", request}});
  }
  if (changes.paused_until) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        *changes.paused_until - now);
    LogEvent(Event::kBackendServerPaused, LogLevel::kInfo,
             {{"server", server.Text()},
              {"request", request},
              {"asked_ms", std::to_string(statement.pause->count())},
              {"paused_ms", std::to_string(left.count())}});
  }
  if (statement.unreadable > 0) {
    LogEvent(Event::kBackendServerUnreadable, LogLevel::kWarning,
             {{"server", server.Text()},
              {"request", request},
              {"fields", std::to_string(statement.unreadable)}});
  }
}

}  // namespace

ServerDirectory::ServerDirectory(RegionName region,
                                 policy::ServerTableLimits limits,
                                 const Clock& clock,
                                 std::uint64_t seed)
    : region(std::move(region)),
      clock(clock),
      table(limits, clock.Now()),
      retry_reserve(kRetryReserve),
      random(seed) {}

void ServerDirectory::SetOnAnnounced(OnAnnounced callback) {
  this->on_announced = std::move(callback);
}

bool ServerDirectory::Announce(const policy::ServerReport& report) {
  if (report.region != this->region) {
    return false;
  }
  this->Apply(report);
  if (this->on_announced) {
    this->on_announced(report);
  }
  return true;
}

void ServerDirectory::NoteCacheEvents(
    const backend_servers::CacheEvents& events) {
  const std::lock_guard lock(this->mutex);
  for (const std::uint64_t prefix : events.prefixes) {
    this->table.NotePrefix(events.server, prefix);
  }
}

void ServerDirectory::ApplyRelayed(const policy::ServerReport& report) {
  if (report.region.IsEmpty() || report.region == this->region) {
    this->Apply(report);
  }
}

std::optional<policy::ServerChoice> ServerDirectory::Choose(
    const policy::ServerQuery& query) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  auto choice = this->table.Pick(query, now, this->random);
  if (choice) {
    if (IsLogged(LogLevel::kDebug)) {
      LogChoice(choice->name, *this->table.Belief(choice->name, now));
    }
    this->table.NoteSent(choice->name, choice->prefill_tokens, now);
    this->table.NoteWork(query, *choice, now);
  }
  return choice;
}

std::optional<Duration> ServerDirectory::ExpectedTime(
    const policy::ServerQuery& query) {
  const std::lock_guard lock(this->mutex);
  const auto choice = this->table.Pick(query, this->clock.Now(), this->random);
  if (!choice) {
    return std::nullopt;
  }
  return choice->expected;
}

void ServerDirectory::NoteAlive(const BackendServerName& name,
                                TimePoint opened) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  this->links.NoteAlive(now);
  this->table.NoteAlive(name, opened, now);
}

void ServerDirectory::NoteLostConnection(const policy::ServerChoice& server,
                                         TimePoint opened) {
  const std::lock_guard lock(this->mutex);
  this->table.NoteLostConnection(server, opened, this->clock.Now());
}

void ServerDirectory::NoteDoubt(const policy::ServerDoubt& doubt,
                                std::string_view source) {
  const TimePoint now = this->clock.Now();
  bool is_news = false;
  {
    const std::lock_guard lock(this->mutex);
    is_news = this->table.NoteDoubt(doubt, now);
  }
  if (is_news) {
    LogDoubt(doubt, source, now);
  }
}

void ServerDirectory::NoteRefusedConnection(
    const policy::ServerChoice& server) {
  const std::lock_guard lock(this->mutex);
  this->table.NoteRefusedConnection(server, this->clock.Now());
}

std::vector<policy::ServerDoubt> ServerDirectory::TakeDoubts() {
  const TimePoint now = this->clock.Now();
  std::vector<policy::ServerDoubt> due;
  {
    const std::lock_guard lock(this->mutex);
    if (this->links.State() == policy::LinkState::kUp) {
      due = this->table.TakeDoubts(now);
    }
  }
  for (const policy::ServerDoubt& doubt : due) {
    LogDoubt(doubt, "self", now);
  }
  return due;
}

std::vector<policy::ServerDoubt> ServerDirectory::OwnDoubts() {
  const std::lock_guard lock(this->mutex);
  return this->links.State() == policy::LinkState::kUp
             ? this->table.OwnDoubts(this->clock.Now())
             : std::vector<policy::ServerDoubt>();
}

void ServerDirectory::SetClosed(const std::set<DataCentreName>& data_centres) {
  const std::lock_guard lock(this->mutex);
  this->table.SetClosed(data_centres, this->clock.Now());
}

void ServerDirectory::Finish(const BackendServerName& name,
                             const std::string& request,
                             policy::HealthSignal signal,
                             TimePoint sent) {
  const bool failed = signal != policy::HealthSignal::kAnswered &&
                      signal != policy::HealthSignal::kInconclusive;
  if (failed) {
    LogEvent(Event::kBackendServerFailed, LogLevel::kWarning,
             {{"server", name.Text()},
              {"request", request},
              {"signal", std::string(policy::HealthSignalName(signal))}});
  }
  const std::lock_guard lock(this->mutex);
  if (failed) {
    this->links.NoteFailure(name, this->clock.Now());
  }
  this->table.NoteFinished(name, signal, sent, this->clock.Now());
}

policy::LinkState ServerDirectory::Links() {
  const std::lock_guard lock(this->mutex);
  return this->links.State();
}

bool ServerDirectory::KeepsConnections() {
  const std::lock_guard lock(this->mutex);
  return this->links.KeepsConnections(this->clock.Now());
}

std::vector<policy::ServerEndpoint> ServerDirectory::ServersToProbe() {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  if (!this->links.WantsProbes(this->table.Count(), now)) {
    return {};
  }
  const policy::LinkState before = this->links.State();
  std::vector<policy::ServerEndpoint> endpoints = this->table.Endpoints(now);
  std::vector<BackendServerName> names;
  names.reserve(endpoints.size());
  for (const policy::ServerEndpoint& endpoint : endpoints) {
    names.push_back(endpoint.name);
  }
  const std::vector<BackendServerName> due =
      this->links.ServersToProbe(names, now);
  this->HandleLinks(before);
  std::erase_if(endpoints, [&](const policy::ServerEndpoint& endpoint) {
    return std::find(due.begin(), due.end(), endpoint.name) == due.end();
  });
  return endpoints;
}

void ServerDirectory::NoteConnected() {
  const std::lock_guard lock(this->mutex);
  const policy::LinkState before = this->links.State();
  this->links.NoteConnected();
  this->HandleLinks(before);
}

void ServerDirectory::NoteProbeFailed(const BackendServerName& name) {
  const std::lock_guard lock(this->mutex);
  const policy::LinkState before = this->links.State();
  this->links.NoteProbeFailed(name);
  this->HandleLinks(before);
}

void ServerDirectory::HandleLinks(policy::LinkState before) {
  const TimePoint now = this->clock.Now();
  const bool was_down = before == policy::LinkState::kDown;
  const bool is_down = this->links.State() == policy::LinkState::kDown;
  if (is_down != was_down) {
    this->table.ForgiveFailures(now);
  }
  if (is_down && !was_down) {
    this->links_down_since = now;
    LogEvent(Event::kLinksLost, LogLevel::kWarning,
             {{"failed", std::to_string(this->links.FailedServers())},
              {"known", std::to_string(this->table.Count())}});
  } else if (was_down && !is_down) {
    LogEvent(
        Event::kLinksRegained, LogLevel::kInfo,
        {{"known", std::to_string(this->table.Count())},
         {"ms", std::to_string(std::chrono::ceil<std::chrono::milliseconds>(
                                   now - this->links_down_since)
                                   .count())}});
  }
}

void ServerDirectory::NotePrefix(const BackendServerName& name,
                                 std::uint64_t prefix) {
  const std::lock_guard lock(this->mutex);
  this->table.NotePrefix(name, prefix);
}

void ServerDirectory::NoteFirstOutput(const BackendServerName& name,
                                      TokenCount prompt_tokens) {
  const std::lock_guard lock(this->mutex);
  this->table.NoteFirstOutput(name, prompt_tokens);
}

void ServerDirectory::NotePrefixBlocks(
    const BackendServerName& name,
    const std::vector<policy::PrefixBlock>& prefix_blocks) {
  const std::lock_guard lock(this->mutex);
  for (const policy::PrefixBlock& block : prefix_blocks) {
    this->table.NotePrefix(name, block.digest);
  }
}

void ServerDirectory::NoteRun(const std::string& target, Duration run) {
  const std::lock_guard lock(this->mutex);
  this->table.NoteRun(target, run);
}

void ServerDirectory::SetPeerLoad(const std::string& target,
                                  std::uint32_t running) {
  const std::lock_guard lock(this->mutex);
  this->table.SetPeerLoad(target, running);
}

void ServerDirectory::Release(const BackendServerName& name,
                              TokenCount prompt_tokens) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  this->table.NoteFirstOutput(name, prompt_tokens);
  this->table.ReturnAllowance(name);
  this->table.NoteFinished(name, policy::HealthSignal::kInconclusive, now, now);
}

void ServerDirectory::NotePauses(const BackendServerName& name,
                                 std::uint32_t events,
                                 Duration sum) {
  const std::lock_guard lock(this->mutex);
  this->table.NotePauses(name, events, sum);
}

void ServerDirectory::NoteFirstDelay(const std::string& target,
                                     const policy::ServerChoice& choice,
                                     Duration actual) {
  const std::lock_guard lock(this->mutex);
  this->table.NoteFirstDelay(target, choice, actual, this->clock.Now());
}

policy::LoadReport ServerDirectory::MakeLoadReport() {
  const std::lock_guard lock(this->mutex);
  return this->table.MakeLoadReport(this->clock.Now());
}

void ServerDirectory::ApplyLoads(const policy::LoadSummary& summary) {
  const std::lock_guard lock(this->mutex);
  this->table.ApplyLoads(summary, this->clock.Now());
}

policy::SharedLoadState ServerDirectory::LoadState() {
  const std::lock_guard lock(this->mutex);
  return this->table.LoadState(this->clock.Now());
}

void ServerDirectory::SetLimits(policy::ServerTableLimits limits) {
  const std::lock_guard lock(this->mutex);
  this->table.SetLimits(limits);
}

void ServerDirectory::SetRetryReserve(std::uint32_t reserve) {
  const std::lock_guard lock(this->mutex);
  if (reserve != this->retry_reserve) {
    this->retry_reserve = reserve;
    this->retries.clear();
  }
}

void ServerDirectory::NoteRequest(const std::string& target) {
  const std::lock_guard lock(this->mutex);
  this->RetriesOf(target).NoteRequest();
}

bool ServerDirectory::TryRetry(const std::string& target) {
  const std::lock_guard lock(this->mutex);
  return this->RetriesOf(target).TryRetry();
}

policy::RetryBudget& ServerDirectory::RetriesOf(const std::string& target) {
  return this->retries.try_emplace(target, kRetryPercent, this->retry_reserve)
      .first->second;
}

void ServerDirectory::NoteLimit(const policy::ServerLimit& limit,
                                std::string_view source) {
  bool is_change = false;
  {
    const std::lock_guard lock(this->mutex);
    is_change = this->table.NoteLimit(limit, this->clock.Now());
  }
  if (is_change) {
    LogLimit(limit, source, this->clock.Now());
  }
}

void ServerDirectory::NoteStatement(const policy::ServerChoice& server,
                                    const policy::ServerStatement& statement,
                                    const std::string& request) {
  const TimePoint now = this->clock.Now();
  policy::StatementChanges changes;
  {
    const std::lock_guard lock(this->mutex);
    changes = this->table.NoteStatement(server, statement, now, this->random);
  }
  if (statement.leaving && this->on_announced) {
    policy::ServerReport report;
    report.name = server.name;
    report.region = this->region;
    report.started = server.started;
    report.leaving = true;
    this->on_announced(report);
  }
  LogStatement(server.name, statement, changes, request, now);
}

bool ServerDirectory::MaySendTo(const policy::ServerChoice& server) {
  const std::lock_guard lock(this->mutex);
  return this->table.MaySendTo(server, this->clock.Now());
}

std::vector<policy::ServerLimit> ServerDirectory::Limits() {
  const std::lock_guard lock(this->mutex);
  return this->table.Limits(this->clock.Now());
}

void ServerDirectory::SetSharers(const HostName& self,
                                 std::vector<HostName> hosts) {
  const std::lock_guard lock(this->mutex);
  this->table.SetSharers(self, std::move(hosts));
}

std::optional<Duration> ServerDirectory::NextAllowance(
    const std::string& target) {
  const std::lock_guard lock(this->mutex);
  return this->table.NextAllowance(target, this->clock.Now());
}

std::optional<std::uint64_t> ServerDirectory::SoleSoftware(
    const std::string& target) {
  const std::lock_guard lock(this->mutex);
  return this->table.SoleSoftware(target, this->clock.Now());
}

bool ServerDirectory::IsLeaving(const BackendServerName& name) {
  const std::lock_guard lock(this->mutex);
  return this->table.IsLeaving(name);
}

policy::OwnLoad ServerDirectory::LoadOf(const std::string& target) {
  const std::lock_guard lock(this->mutex);
  return this->table.LoadOf(target, this->clock.Now());
}

void ServerDirectory::Expire() {
  std::vector<BackendServerName> expired;
  {
    const std::lock_guard lock(this->mutex);
    expired = this->table.Expire(this->clock.Now());
  }
  for (const BackendServerName& name : expired) {
    LogEvent(Event::kBackendServerLeaseExpired, LogLevel::kWarning,
             {{"server", name.Text()}});
  }
}

std::uint32_t ServerDirectory::Slots(const std::string& target) {
  const std::lock_guard lock(this->mutex);
  return this->table.Slots(target, this->clock.Now());
}

void ServerDirectory::Apply(const policy::ServerReport& report) {
  policy::ReportChanges changes;
  {
    const std::lock_guard lock(this->mutex);
    changes = this->table.Announce(report, this->clock.Now());
    if (changes.is_new) {
      this->links.NoteNewServer(report.name);
    }
  }
  if (changes.process) {
    LogRestart(report, *changes.process);
  }
  if (changes.is_new) {
    LogEvent(Event::kBackendServerAnnounced, LogLevel::kInfo,
             {{"server", report.name.Text()}, {"software", report.software}});
  }
  if (report.leaving) {
    LogEvent(Event::kBackendServerLeft, LogLevel::kDebug,
             {{"server", report.name.Text()}});
  }
}

}  // namespace tamarackwing::gateway
