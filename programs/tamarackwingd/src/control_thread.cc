#include "control_thread.h"

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <future>
#include <utility>

#include "disk_thread.h"
#include "region_demand.h"
#include "tamarackwing/base/event.h"
#include "tamarackwing/control/bucket_keepers.h"
#include "tamarackwing/control/message_kind.h"
#include "tamarackwing/control/stream_keepers.h"
#include "tamarackwing/policy/slot_share.h"

namespace tamarackwing::daemon {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{50};
//! Max regions probed in one round; the next round continues with the others.
constexpr std::size_t kProbesPerRound = 4;
constexpr milliseconds kShareInterval{100};
//! Snapshots are renewed even if nothing changes, because every leader contact
//! extends their `keys_fresh_until`.
constexpr milliseconds kSnapshotInterval{200};
//! Interval between load reports: a fraction of the time that most requests
//! stay on a server.
constexpr milliseconds kLoadInterval{250};
//! Share of the region's live entry hosts that a load summary must include. Not
//! all: a host that has just stopped counts as live for some seconds.
constexpr double kMinSummarizedShare = 0.8;
constexpr std::chrono::seconds kChangeTimeout{9};
//! Short against the interval at which metrics are usually collected.
constexpr std::chrono::seconds kTrafficMetricsInterval{1};
//! Bytes sent in an interval of the traffic metrics from which on it is logged.
constexpr std::uint64_t kLoggedTraffic = 64 * 1024;
//! Short enough for the leased rates to follow a peak of demand, which moves to
//! another region within one or two seconds.
constexpr milliseconds kRateReportInterval{300};
//! Short against the time that a crashed server takes to come back.
constexpr milliseconds kCrashReportInterval{200};
//! How long the reply to a request for tokens is waited for; longer than a
//! round trip between regions, and short against the latency targets of
//! requests.
constexpr milliseconds kTokenTimeout{250};
//! How long a host that did not reply to one is not asked again.
constexpr milliseconds kKeeperSilence{1'000};
//! Number of other regions whose keepers are asked for tokens. Two more
//! requests each bound the work of all keepers at three times that of now.
constexpr std::size_t kOtherRegions = 2;
//! How long the answers about a stream are waited for.
constexpr milliseconds kStreamTimeout{2'000};
//! Capacity of one server in region statuses; see control::TargetLoad.
constexpr std::uint32_t kServerCapacity = 1'000;
//! Time during which a host without demand also reports to a new leader; long
//! enough for several reports, because some may be lost.
constexpr milliseconds kNewLeaderPeriod{3'000};

std::chrono::microseconds ThreadCpuTime() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

std::string MillisecondsText(Duration time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

//! Returns free memory to the operating system if there is much of it: after a
//! large change, the memory allocator would otherwise keep it forever.
void ReturnFreeMemory() {
  constexpr std::size_t kMaxFree = 16 * 1024 * 1024;
  if (::mallinfo2().fordblks > kMaxFree) {
    ::malloc_trim(0);
  }
}

gateway::PermitKind ToPermitKind(state::PermitVerdict verdict) {
  switch (verdict) {
    case state::PermitVerdict::kGranted:
      return gateway::PermitKind::kGranted;
    case state::PermitVerdict::kInProgress:
      return gateway::PermitKind::kInProgress;
    case state::PermitVerdict::kAnswered:
      return gateway::PermitKind::kAnswered;
    case state::PermitVerdict::kUnknown:
      return gateway::PermitKind::kUnknown;
    case state::PermitVerdict::kUnavailable:
      return gateway::PermitKind::kUnavailable;
    case state::PermitVerdict::kFull:
      return gateway::PermitKind::kFull;
  }
  return gateway::PermitKind::kUnavailable;
}

std::string TargetOf(const state::Route& route) {
  return route.kind == state::RouteKind::kModel ? route.model_version.Text()
                                                : route.name.Text();
}

}  // namespace

ControlThread::ControlThread(const Settings& settings,
                             ControlDependencies dependencies,
                             state::Disk* disk,
                             bool bootstraps_log)
    : settings(settings),
      dependencies(dependencies),
      disk(disk),
      bootstraps_log(bootstraps_log),
      fleet_retries(settings.fleet_retries),
      random(std::hash<std::string>{}(settings.gateway.host.Text()) ^
             NewIncarnation()),
      // A reply to an earlier process of this host must not match.
      next_stream(NewIncarnation()),
      next_token_request(NewIncarnation()),
      load_follower(kLoadInterval),
      next_probe(NewIncarnation()) {
  this->SetUpCallbacks();
}

ControlThread::~ControlThread() {
  this->Stop();
}

Expected<void, ControlError> ControlThread::Start() {
  auto recovered = this->Recover();
  if (!recovered) {
    return unexpected(recovered.error());
  }
  std::promise<bool> started;
  auto result = started.get_future();
  this->thread = std::thread(
      [this, recovered = std::move(*recovered), &started]() mutable {
        this->Run(std::move(recovered),
                  [&started](bool listens) { started.set_value(listens); });
      });
  if (!result.get()) {
    this->thread.join();
    return unexpected(ControlError::kCannotListen);
  }
  return {};
}

void ControlThread::StartDrain() {
  this->network->Post([this] {
    this->draining = true;
    this->node->StartDrain();
  });
}

void ControlThread::Stop() {
  if (this->thread.joinable()) {
    this->network->Stop();
    this->thread.join();
  }
}

void ControlThread::Request(const RegionName& region,
                            const OperationId& operation,
                            OperationPermits::Callback callback) {
  this->network->Post(
      [this, region, operation, callback = std::move(callback)]() mutable {
        control::ControlEffects effects;
        const std::uint64_t number = this->node->RequestPermit(
            region, operation, this->dependencies.clock.Now(), effects);
        this->permits[number] = std::move(callback);
        this->Execute(std::move(effects));
      });
}

void ControlThread::Release(const RegionName& region,
                            const OperationId& operation) {
  this->End(region, operation, state::OperationState::kReleased, {});
}

void ControlThread::Answer(const RegionName& region,
                           const OperationId& operation,
                           const gateway::OperationAnswer& answer) {
  this->End(region, operation, state::OperationState::kAnswered,
            {answer.status, answer.content_type, answer.body});
}

void ControlThread::MarkUnknown(const RegionName& region,
                                const OperationId& operation) {
  this->End(region, operation, state::OperationState::kUnknown, {});
}

void ControlThread::End(const RegionName& region,
                        const OperationId& operation,
                        state::OperationState outcome,
                        state::StoredAnswer answer) {
  this->network->Post([this, region, operation, outcome,
                       answer = std::move(answer)] {
    this->Execute(this->node->EndOperation(region, operation, outcome, answer,
                                           this->dependencies.clock.Now()));
  });
}

void ControlThread::Change(state::ControlChange change,
                           ChangeCallback callback) {
  this->network->Post([this, change = std::move(change),
                       callback = std::move(callback)]() mutable {
    control::ControlEffects effects;
    const TimePoint now = this->dependencies.clock.Now();
    const std::uint64_t number = this->node->Propose(change, now, effects);
    this->changes[number] = {std::move(callback), now};
    this->Execute(std::move(effects));
  });
}

void ControlThread::Check(state::PublishSet publish, ChangeCallback callback) {
  this->network->Post(
      [this, publish = std::move(publish), callback = std::move(callback)] {
        callback({this->node->State().Check(publish)});
      });
}

void ControlThread::Withdraw(KeyDigest digest) {
  this->network->Post([this, digest = std::move(digest)] {
    this->Execute(this->node->Withdraw(digest, this->dependencies.clock.Now()));
  });
}

void ControlThread::Status(StatusCallback callback) {
  this->network->Post([this, callback = std::move(callback)]() mutable {
    control::ControlEffects effects;
    const TimePoint now = this->dependencies.clock.Now();
    const auto number = this->node->SendStatusRequest(now, effects);
    if (!number) {
      callback(std::nullopt);
      return;
    }
    this->statuses[*number] = {std::move(callback), now};
    this->Execute(std::move(effects));
  });
}

std::shared_ptr<const state::Snapshot> ControlThread::Snapshot() {
  return this->dependencies.snapshots.Get();
}

void ControlThread::HandleMessage(const HostName& from,
                                  control::PeerMessage message) {
  const TurnWatch::Turn turn(this->turns, this->dependencies.clock,
                             control::MessageKind(message));
  if (const auto* begun = std::get_if<policy::StreamBegun>(&message)) {
    this->dependencies.streams.Keep(*begun);
  } else if (const auto* question =
                 std::get_if<policy::StreamQuestion>(&message)) {
    this->network->Send(
        from, policy::StreamAnswer{
                  question->number,
                  this->dependencies.streams.Known(question->stream)});
  } else if (const auto* answer = std::get_if<policy::StreamAnswer>(&message)) {
    this->HandleStreamAnswer(*answer);
  } else if (const auto* request =
                 std::get_if<policy::TokenRequest>(&message)) {
    this->network->Send(from, this->HandleTokenRequest(*request));
  } else if (const auto* reply = std::get_if<policy::TokenReply>(&message)) {
    this->HandleTokenReply(from, *reply);
  } else if (const auto* returned =
                 std::get_if<policy::TokenReturn>(&message)) {
    this->dependencies.rates.HandleReturn(*returned);
  } else if (const auto* loads = std::get_if<policy::LoadReport>(&message)) {
    this->HandleLoadReport(from, *loads);
  } else if (const auto* summary = std::get_if<policy::LoadSummary>(&message)) {
    this->HandleLoadSummary(from, *summary);
  } else {
    this->Execute(
        this->node->Receive(from, message, this->dependencies.clock.Now()));
  }
}

void ControlThread::TellKeepers(const policy::StreamBegun& begun) {
  for (const HostName& keeper :
       control::StreamKeepers(begun.stream, this->node->State().Hosts())) {
    if (keeper != this->settings.gateway.host) {
      this->network->Send(keeper, begun);
    }
  }
}

void ControlThread::AskKeepers(std::uint64_t stream,
                               gateway::StreamOrigins::Callback callback) {
  const std::uint64_t number = this->next_stream++;
  std::size_t asked = 0;
  for (const HostName& keeper :
       control::StreamKeepers(stream, this->node->State().Hosts())) {
    if (keeper != this->settings.gateway.host) {
      this->network->Send(keeper, policy::StreamQuestion{number, stream});
      asked += 1;
    }
  }
  if (asked == 0) {
    callback(std::nullopt);
    return;
  }
  this->streams[number] = {std::move(callback), asked,
                           this->dependencies.clock.Now()};
}

void ControlThread::HandleStreamAnswer(const policy::StreamAnswer& answer) {
  const auto waiting = this->streams.find(answer.number);
  if (waiting == this->streams.end()) {
    return;
  }
  waiting->second.unanswered -= 1;
  if (answer.origin || waiting->second.unanswered == 0) {
    const auto callback = std::move(waiting->second.callback);
    this->streams.erase(waiting);
    callback(answer.origin);
  }
}

HostName ControlThread::KeeperOf(const WorkspaceName& workspace) const {
  const TimePoint now = this->dependencies.clock.Now();
  const state::ControlState& state = this->node->State();
  for (const HostName& keeper : control::BucketKeepers(
           workspace, this->settings.gateway.region, this->node->Leader(),
           state.Hosts(), state.Live())) {
    const auto silent = this->silent_keepers.find(keeper);
    if (silent == this->silent_keepers.end() || silent->second <= now) {
      return keeper;
    }
  }
  return HostName();
}

void ControlThread::AskForTokens(policy::TokenRequest request,
                                 LeasedRateBudget::ReplyCallback callback) {
  const HostName keeper = this->KeeperOf(request.workspace);
  if (keeper.IsEmpty()) {
    callback(std::nullopt);
    return;
  }
  if (keeper == this->settings.gateway.host) {
    callback(this->dependencies.rates.HandleRequest(request));
    return;
  }
  request.number = this->next_token_request++;
  this->token_requests[request.number] = {std::move(callback), keeper,
                                          this->dependencies.clock.Now()};
  this->network->Send(keeper, request);
}

void ControlThread::HandleTokenReply(const HostName& from,
                                     const policy::TokenReply& reply) {
  const auto inquiry = this->inquiries.find(reply.number);
  if (inquiry != this->inquiries.end()) {
    PendingInquiry& pending = inquiry->second;
    auto step =
        pending.inquiry.NoteReply(from, reply, this->dependencies.clock.Now());
    if (step.returns_tokens) {
      this->ReturnTokens({pending.request.workspace, pending.request.tokens},
                         from);
    }
    this->TakeStep(pending, std::move(step));
    if (pending.inquiry.IsDone(this->dependencies.clock.Now())) {
      this->inquiries.erase(inquiry);
    }
    return;
  }
  const auto waiting = this->token_requests.find(reply.number);
  if (waiting == this->token_requests.end()) {
    return;
  }
  const auto callback = std::move(waiting->second.callback);
  this->token_requests.erase(waiting);
  callback(reply);
}

policy::TokenReply ControlThread::HandleTokenRequest(
    const policy::TokenRequest& request) {
  policy::TokenReply reply = this->dependencies.rates.HandleRequest(request);
  if (this->settings.gateway.scheduling.ask_other_keepers &&
      this->dependencies.rates.NeedsEarlyReport()) {
    this->ReportRates(true);
  }
  return reply;
}

std::vector<HostName> ControlThread::OwnKeepers(
    const WorkspaceName& workspace) const {
  const TimePoint now = this->dependencies.clock.Now();
  const state::ControlState& state = this->node->State();
  const RegionName& region = this->settings.gateway.region;
  std::vector<HostName> own;
  for (const HostName& keeper :
       control::BucketKeepers(workspace, region, this->node->Leader(),
                              state.Hosts(), state.Live())) {
    const auto silent = this->silent_keepers.find(keeper);
    const bool is_silent =
        silent != this->silent_keepers.end() && silent->second > now;
    const bool is_in_region = state.Hosts().at(keeper).region == region;
    if (!is_silent && (is_in_region || own.empty())) {
      own.push_back(keeper);
    }
  }
  return own;
}

std::vector<HostName> ControlThread::OtherKeepers(
    const WorkspaceName& workspace) const {
  const TimePoint now = this->dependencies.clock.Now();
  const state::ControlState& state = this->node->State();
  std::set<HostName> silent;
  for (const auto& [keeper, until] : this->silent_keepers) {
    if (until > now) {
      silent.insert(keeper);
    }
  }
  return control::KeepersOfOtherRegions(
      workspace, this->settings.gateway.region, this->node->Leader(),
      state.Hosts(), state.Live(), silent, kOtherRegions);
}

void ControlThread::Inquire(policy::TokenRequest request,
                            TimePoint latest,
                            LeasedRateBudget::DecisionCallback callback) {
  const std::uint64_t number = this->next_token_request++;
  request.number = number;
  policy::TokenInquiryOptions options;
  options.keeper_timeout = kTokenTimeout;
  // Timeouts are noticed at ticks.
  policy::TokenInquiry inquiry(
      this->OwnKeepers(request.workspace),
      [this, workspace = request.workspace] {
        return this->OtherKeepers(workspace);
      },
      latest - kTickInterval, options);
  const auto [place, is_new] = this->inquiries.try_emplace(
      number, PendingInquiry{std::move(inquiry), std::move(request),
                             std::move(callback)});
  PendingInquiry& pending = place->second;
  this->TakeStep(pending,
                 pending.inquiry.Start(this->dependencies.clock.Now()));
  if (pending.inquiry.IsDone(this->dependencies.clock.Now())) {
    this->inquiries.erase(place);
  }
}

void ControlThread::TakeStep(PendingInquiry& pending,
                             policy::TokenInquiry::Step step) {
  const TimePoint now = this->dependencies.clock.Now();
  for (const HostName& keeper : step.silent) {
    this->silent_keepers[keeper] = now + kKeeperSilence;
  }
  std::optional<policy::TokenReply> own_reply;
  for (const HostName& keeper : step.ask) {
    policy::TokenRequest request = pending.request;
    request.is_counted = pending.inquiry.IsCounted(keeper);
    if (keeper == this->settings.gateway.host) {
      own_reply = this->HandleTokenRequest(request);
    } else {
      this->network->Send(keeper, request);
    }
  }
  if (step.decision) {
    const policy::TokenDecision& decision = *step.decision;
    if (decision.is_from_other_region) {
      Metrics& metrics = this->dependencies.metrics;
      metrics.Count("tamarackwing_token_grants_of_other_regions_total");
      metrics.Count("tamarackwing_tokens_granted_by_other_regions_total",
                    static_cast<std::uint64_t>(
                        std::max<TokenCount>(0, pending.request.tokens)));
    }
    std::exchange(pending.callback, nullptr)(decision,
                                             pending.inquiry.Answers());
  }
  if (own_reply) {
    this->TakeStep(pending, pending.inquiry.NoteReply(
                                this->settings.gateway.host, *own_reply, now));
  }
}

void ControlThread::ReturnTokens(const policy::TokenReturn& returned,
                                 const HostName& granted_by) {
  const HostName keeper =
      granted_by.IsEmpty() ? this->KeeperOf(returned.workspace) : granted_by;
  if (keeper == this->settings.gateway.host) {
    this->dependencies.rates.HandleReturn(returned);
  } else if (!keeper.IsEmpty()) {
    this->network->Send(keeper, returned);
  }
}

Expected<control::RecoveredControl, ControlError> ControlThread::Recover() {
  control::RecoveredControl recovered;
  if (this->disk == nullptr) {
    return recovered;
  }
  const auto to_error = [](const state::JournalError& error) {
    LogEvent(Event::kJournalDamaged, LogLevel::kError,
             {{"offset", std::to_string(error.offset)}});
    return error.code == state::JournalErrorCode::kDamaged
               ? ControlError::kJournalDamaged
               : ControlError::kDiskFailed;
  };
  this->store = std::make_unique<state::LogStore>(*this->disk);
  auto log = this->store->Recover();
  if (!log) {
    return unexpected(to_error(log.error()));
  }
  state::Journal journal(*this->disk, kLedgerJournal);
  const auto records = journal.Recover();
  if (!records) {
    return unexpected(to_error(records.error()));
  }
  auto ledger = state::DecodeLedger(*records);
  if (!ledger) {
    return unexpected(ControlError::kJournalDamaged);
  }
  if (!records->empty()) {
    const state::LedgerBatch compacted{0, true, ledger->synced_epoch,
                                       ledger->records};
    const auto rewritten =
        journal.Rewrite({state::EncodeLedgerBatch(compacted)});
    if (!rewritten) {
      return unexpected(to_error(rewritten.error()));
    }
  }
  LogEvent(Event::kJournalRecovered, LogLevel::kInfo,
           {{"term", std::to_string(log->vote.term)},
            {"snapshot", std::to_string(log->snapshot.index)},
            {"commit", std::to_string(log->commit)},
            {"entries", std::to_string(log->entries.size())},
            {"operations", std::to_string(ledger->records.size())}});
  recovered.log = std::move(*log);
  recovered.ledger = std::move(*ledger);
  return recovered;
}

void ControlThread::Run(control::RecoveredControl recovered,
                        const std::function<void(bool)>& started) {
  const control::ControlOptions options = this->MakeOptions();
  hosts::NetworkOptions network_options;
  network_options.self = options.self.name;
  network_options.region = options.self.region;
  network_options.address = options.self.peer_address;
  network_options.port = options.self.peer_port;
  network_options.has_log = this->disk != nullptr;
  network_options.secret = this->settings.gateway.cluster_secret;
  hosts::PeerHandler& handler = *this;
  this->network =
      std::make_unique<hosts::PeerNetwork>(network_options, handler);
  this->node = std::make_unique<control::ControlNode>(
      options, std::move(recovered), this->random,
      this->dependencies.clock.Now());
  if (this->disk != nullptr) {
    DiskThread::Callbacks callbacks;
    callbacks.log_written = [this](std::uint64_t ticket) {
      this->network->Post([this, ticket] {
        const TimePoint now = this->dependencies.clock.Now();
        this->load.NoteWrite(this->disk_watch.NoteWritten(
            DiskWatch::Journal::kLog, ticket, now));
        this->Execute(this->node->LogPersisted(ticket, now));
      });
    };
    callbacks.ledger_written = [this](std::uint64_t ticket) {
      this->network->Post([this, ticket] {
        const TimePoint now = this->dependencies.clock.Now();
        this->load.NoteWrite(this->disk_watch.NoteWritten(
            DiskWatch::Journal::kLedger, ticket, now));
        this->Execute(this->node->LedgerPersisted(ticket, now));
      });
    };
    callbacks.failed = [this](state::JournalError error) {
      LogEvent(Event::kJournalDamaged, LogLevel::kError,
               {{"code", std::to_string(static_cast<int>(error.code))}});
      this->failed.store(true);
    };
    this->disk_thread = std::make_unique<DiskThread>(*this->disk, *this->store,
                                                     std::move(callbacks));
  }
  this->network->SetHosts(this->KnownHosts());
  const bool listens = this->network->Listen().has_value();
  started(listens);
  if (listens) {
    this->network->Run(kTickInterval, [this] { this->Tick(); });
  }
  this->disk_thread.reset();
  // Pending permit requests can't get a reply any more. The network must be
  // destroyed on the thread of its event loop.
  this->permits.clear();
  this->network.reset();
}

void ControlThread::WatchTurns() {
  const TimePoint now = this->dependencies.clock.Now();
  this->load.NoteTick(now, this->node->QuorumAge(now));
  const auto late = this->turns.NoteTick(now);
  if (late) {
    LogEvent(Event::kControlLate, LogLevel::kWarning,
             {{"gap_ms", std::to_string(late->gap.count())},
              {"turns", std::to_string(late->turns)},
              {"busy_ms", std::to_string(late->busy.count())},
              {"longest_ms", std::to_string(late->longest.count())},
              {"longest", std::string(late->longest_kind)}});
  }
}

void ControlThread::WatchDisk() {
  const TimePoint now = this->dependencies.clock.Now();
  const std::string leads = this->node->IsLeader() ? "yes" : "no";
  if (const auto wait = this->disk_watch.TakeStall(now)) {
    LogEvent(Event::kDiskStalled, LogLevel::kWarning,
             {{"waiting_ms", MillisecondsText(*wait)}, {"leads", leads}});
  }
  if (const auto lasted = this->disk_watch.TakeEndOfStall(now)) {
    LogEvent(Event::kDiskResumed, LogLevel::kWarning,
             {{"stalled_ms", MillisecondsText(*lasted)}, {"leads", leads}});
  }
}

void ControlThread::Tick() {
  this->WatchTurns();
  this->WatchDisk();
  const TurnWatch::Turn turn(this->turns, this->dependencies.clock, "tick");
  for (const HostName& awaited : this->node->AwaitedHosts()) {
    const auto silence = this->network->SilenceOf(awaited);
    if (silence) {
      this->node->NoteBytes(awaited, this->dependencies.clock.Now() - *silence);
    }
  }
  this->Execute(this->node->Tick(this->dependencies.clock.Now()));
  const TimePoint now = this->dependencies.clock.Now();
  this->dependencies.servers.Expire();
  this->dependencies.prober.Tick();
  this->TellDoubts();
  this->dependencies.gate.Expire(this->dependencies.traffic_clock.Now());
  this->dependencies.budget.Tick();
  if (now >= this->share_at) {
    this->share_at = now + kShareInterval;
    this->ShareSlots();
  }
  this->ReportLoads();
  if (now >= this->probe_at) {
    this->probe_at = now + this->node->Options().probe;
    this->ProbeRegions();
  }
  if (now >= this->snapshot_at) {
    this->PublishSnapshot();
  }
  if (now >= this->rates_at) {
    this->rates_at = now + kRateReportInterval;
    this->ReportRates(false);
  } else if (this->settings.gateway.scheduling.ask_other_keepers &&
             this->dependencies.rates.NeedsEarlyReport()) {
    this->ReportRates(true);
  }
  if (now >= this->crashes_at) {
    this->crashes_at = now + kCrashReportInterval;
    this->ReportCrashes();
  }
  this->ExpireRequests();
  this->updates_acknowledged.store(this->node->AllUpdatesAcknowledged());
}

void ControlThread::Execute(control::ControlEffects effects) {
  const TimePoint now = this->dependencies.clock.Now();
  for (state::LogBatch& batch : effects.log_batches) {
    this->disk_watch.NoteQueued(DiskWatch::Journal::kLog, batch.ticket, now);
    this->disk_thread->Write(std::move(batch));
  }
  for (state::LedgerBatch& batch : effects.ledger_batches) {
    this->disk_watch.NoteQueued(DiskWatch::Journal::kLedger, batch.ticket, now);
    this->disk_thread->Write(std::move(batch));
  }
  // The traffic threads must know of a key's withdrawal before the requests in
  // progress with that key are cancelled; otherwise they could accept another
  // one after the cancellation.
  if (effects.snapshot_changed) {
    this->PublishSnapshot();
  }
  for (const KeyDigest& digest : effects.withdrawn) {
    const std::size_t ended =
        this->dependencies.active.CancelKey(digest, RefusalCode::kKeyWithdrawn);
    LogEvent(Event::kKeyWithdrawn, LogLevel::kInfo,
             {{"key", digest.Text()}, {"ended", std::to_string(ended)}});
  }
  for (const control::PeerSend& send : effects.sends) {
    this->network->Send(send.to, send.message);
  }
  for (const state::PermitReply& permit : effects.permits) {
    const auto waiting = this->permits.find(permit.id.number);
    if (waiting != this->permits.end()) {
      const auto callback = std::move(waiting->second);
      this->permits.erase(waiting);
      callback({ToPermitKind(permit.verdict),
                {permit.answer.status, permit.answer.content_type,
                 permit.answer.body}});
    }
  }
  for (const policy::ChunkGrant& grant : effects.grants) {
    this->dependencies.budget.HandleGrant(grant);
  }
  for (control::ChangeDone& done : effects.changes) {
    const auto waiting = this->changes.find(done.number);
    if (waiting != this->changes.end()) {
      const auto callback = std::move(waiting->second.callback);
      this->changes.erase(waiting);
      callback({std::move(done.outcome)});
    }
  }
  for (control::StatusReply& reply : effects.statuses) {
    const auto waiting = this->statuses.find(reply.number);
    if (waiting != this->statuses.end()) {
      const auto callback = std::move(waiting->second.callback);
      this->statuses.erase(waiting);
      callback(std::move(reply));
    }
  }
  for (const control::RegionStatusUpdate& update : effects.status_updates) {
    this->HandleRegionStatus(update);
  }
  for (const policy::RateGrant& grant : effects.rate_grants) {
    this->dependencies.rates.Accept(grant);
  }
  for (const policy::QuarantineNotice& notice : effects.quarantine_notices) {
    this->dependencies.quarantine.Accept(notice);
  }
  for (const policy::ServerReport& report : effects.servers) {
    this->dependencies.servers.ApplyRelayed(report);
  }
  for (const control::DoubtsUpdate& update : effects.doubts) {
    this->dependencies.metrics.Count("tamarackwing_server_doubts_heard_total",
                                     update.doubts.size());
    this->ApplyDoubts(update.from, update.doubts);
  }
  for (const control::ProbeResult& probe_result : effects.probes) {
    this->HandleProbeResult(probe_result);
  }
}

void ControlThread::HandleRegionStatus(
    const control::RegionStatusUpdate& update) {
  this->status_received_at[update.from] = this->dependencies.clock.Now();
  for (const policy::ServerReport& report : update.status.servers) {
    this->dependencies.servers.ApplyRelayed(report);
  }
  const auto snapshot = this->dependencies.snapshots.Get();
  const TimePoint now = this->dependencies.clock.Now();
  for (const control::HeardLimit& limit : update.status.limits) {
    this->dependencies.servers.NoteLimit(
        {limit.server, limit.per_kilosecond, now - limit.age},
        update.from.Text());
  }
  this->ApplyDoubts(update.from, update.status.doubts);
  for (const control::ServedTokens& tokens : update.status.served) {
    const auto workspace = snapshot->set->workspaces.find(tokens.workspace);
    const std::uint32_t weight = workspace == snapshot->set->workspaces.end()
                                     ? 1
                                     : workspace->second.weight;
    this->dependencies.gate.NoteServedElsewhere(tokens.target, tokens.workspace,
                                                weight, tokens.tokens);
  }
  this->region_statuses[update.from] = update.status;
}

void ControlThread::ApplyDoubts(
    const HostName& from,
    const std::vector<control::HeardDoubt>& doubts) {
  const TimePoint now = this->dependencies.clock.Now();
  for (const control::HeardDoubt& doubt : doubts) {
    this->dependencies.servers.NoteDoubt(
        {doubt.server,
         doubt.started,
         {now - doubt.first_age, now - doubt.last_age},
         doubt.is_replaced},
        from.Text());
  }
}

std::vector<control::HeardDoubt> ControlThread::ToHeard(
    const std::vector<policy::ServerDoubt>& doubts) const {
  const TimePoint now = this->dependencies.clock.Now();
  std::vector<control::HeardDoubt> heard;
  heard.reserve(doubts.size());
  for (const policy::ServerDoubt& doubt : doubts) {
    heard.push_back({doubt.server, doubt.started,
                     std::chrono::floor<milliseconds>(now - doubt.signs.first),
                     std::chrono::floor<milliseconds>(now - doubt.signs.last)});
  }
  return heard;
}

void ControlThread::TellDoubts() {
  const auto doubts = this->dependencies.servers.TakeDoubts();
  if (!doubts.empty()) {
    this->dependencies.metrics.Count("tamarackwing_server_doubts_told_total",
                                     doubts.size());
    this->Execute(this->node->TellDoubts(this->ToHeard(doubts)));
  }
}

void ControlThread::HandleProbeResult(
    const control::ProbeResult& probe_result) {
  const auto sent = this->probes_sent_at.find(probe_result.reply.number);
  const auto& hosts = this->node->State().Hosts();
  const auto host = hosts.find(probe_result.from);
  if (sent == this->probes_sent_at.end() || host == hosts.end()) {
    return;
  }
  this->dependencies.regions.NoteProbe(
      host->second, probe_result.reply,
      this->dependencies.clock.Now() - sent->second);
  this->probes_sent_at.erase(sent);
}

void ControlThread::ReportRates(bool is_early) {
  const HostName& leader = this->node->Leader();
  const TimePoint now = this->dependencies.clock.Now();
  if (!leader.IsEmpty() && leader != this->rates_leader) {
    this->rates_leader = leader;
    this->rates_leader_since = now;
    this->dependencies.rates.ForgetPendingReports();
  }
  // A new leader grants leases only after all holders have reported theirs,
  // so a host without demand reports to it, too.
  const bool is_new_leader = now - this->rates_leader_since < kNewLeaderPeriod;
  // What a report contains counts as reported, so none is made in vain.
  const bool is_behind = this->network->IsBehind(
      leader, control::MessageKind(policy::RateReport()));
  if (this->disk == nullptr || is_behind) {
    return;
  }
  const policy::RateReport report =
      is_early ? this->dependencies.rates.MakeEarlyReport()
               : this->dependencies.rates.MakeReport();
  if (is_new_leader || !report.demands.empty()) {
    this->Execute(this->node->ReportRates(report, now));
  }
}

void ControlThread::ReportCrashes() {
  const TimePoint now = this->dependencies.clock.Now();
  // Connections that break because this host loses its links are no crashes.
  const policy::LinkState links = this->dependencies.servers.Links();
  if (links == policy::LinkState::kSuspect) {
    return;
  }
  if (links == policy::LinkState::kDown) {
    this->dependencies.quarantine.DropUnreported();
  }
  // As for the rates.
  if (this->network->IsBehind(this->node->Leader(),
                              control::MessageKind(policy::CrashReport()))) {
    return;
  }
  // A new leader does not know the quarantine.
  const bool is_new_leader = now - this->rates_leader_since < kNewLeaderPeriod;
  const auto report = this->dependencies.quarantine.MakeReport(is_new_leader);
  if (report) {
    this->Execute(this->node->ReportCrashes(*report, now));
  }
}

bool ControlThread::Announce(const policy::ServerReport& report) {
  if (this->dependencies.snapshots.Get()->hosts->empty()) {
    return false;
  }
  this->network->Post([this, report] {
    this->Execute(
        this->node->RelayServer(report, this->dependencies.clock.Now()));
  });
  return true;
}

void ControlThread::NoteCacheEvents(const backend_servers::CacheEvents&) {
  // Nothing to relay: entry hosts receive cache events directly from the
  // servers.
}

void ControlThread::ShareSlots() {
  const auto snapshot = this->dependencies.snapshots.Get();
  const TimePoint now = this->dependencies.clock.Now();
  const HostName& self = this->settings.gateway.host;
  const auto own_demand = this->dependencies.gate.Demand();
  control::RegionStatus status;
  std::vector<control::TargetLoad> region_loads;
  std::set<std::string> targets;
  for (const auto& [name, route] : snapshot->set->routes) {
    targets.insert(TargetOf(route));
  }
  for (const auto& [name, service] : snapshot->set->services) {
    targets.insert(name.Text());
  }
  std::map<HostName, const control::RegionStatus*> peers;
  for (const auto& [host, peer_status] : this->region_statuses) {
    // The share of a host that sends no status goes to the others.
    const bool is_recent =
        now - this->status_received_at[host] <= this->node->PeerSilenceLimit();
    if (is_recent && !peer_status.draining) {
      peers[host] = &peer_status;
    }
  }
  for (const std::string& target : targets) {
    const policy::OwnLoad own_load = this->dependencies.servers.LoadOf(target);
    const auto gate = own_demand.find(target);
    this->dependencies.regions.SetServers(target, own_load.servers,
                                          own_load.slots);
    const policy::WorkRate work = this->dependencies.regions.OfferedOf(target);
    const RegionDemand demand =
        CountDemand(target, self, gate == own_demand.end() ? 0 : gate->second,
                    own_load, work, peers);
    this->dependencies.servers.SetPeerLoad(target, demand.total - demand.own);
    const std::uint32_t slots = this->dependencies.servers.Slots(target);
    const std::uint32_t own_slots =
        policy::ShareSlots(slots, demand.hosts).at(self);
    this->dependencies.gate.SetSlots(target, slots == 0 ? 0 : own_slots);
    // Without the switch, messages stay as they were.
    const std::uint32_t capacity = this->settings.gateway.scheduling.spill_ahead
                                       ? kServerCapacity * own_load.servers
                                       : 0;
    status.loads.push_back({target, slots, demand.own, own_load.servers,
                            own_load.pending_prefill, work.offered,
                            work.movable, capacity});
    region_loads.push_back({target, slots, demand.total, own_load.servers,
                            demand.pending_prefill, demand.offered,
                            demand.movable, capacity});
  }
  for (const auto& [target, tokens] : this->dependencies.gate.TakeServed()) {
    for (const auto& [workspace, count] : tokens) {
      status.served.push_back({target, workspace, count});
    }
  }
  status.servers = std::exchange(this->announced, {});
  status.links_down = this->dependencies.servers.LinksAreDown();
  status.doubts = this->ToHeard(this->dependencies.servers.OwnDoubts());
  this->FindNeighbours(peers);
  this->ShareLimits(peers, status);
  this->dependencies.regions.NoteOwnLoads(region_loads);
  this->node->SetRegionStatus(std::move(status), std::move(region_loads), now);
}

void ControlThread::FindNeighbours(
    const std::map<HostName, const control::RegionStatus*>& peers) {
  const auto& hosts = this->node->State().Hosts();
  std::vector<gateway::ForwardTarget> neighbours;
  for (const auto& [name, peer_status] : peers) {
    const auto host = hosts.find(name);
    const bool is_entry_host =
        host != hosts.end() && host->second.IsEntryHost();
    if (is_entry_host && !peer_status->links_down) {
      neighbours.push_back(
          {name,
           host->second.region,
           {host->second.peer_address, host->second.forward_port},
           Duration::zero()});
    }
  }
  this->dependencies.regions.SetNeighbours(std::move(neighbours));
}

void ControlThread::ShareLimits(
    const std::map<HostName, const control::RegionStatus*>& peers,
    control::RegionStatus& status) {
  const TimePoint now = this->dependencies.clock.Now();
  const auto& hosts = this->node->State().Hosts();
  // A host that reaches no server leaves its share to the others.
  std::vector<HostName> sharers;
  if (!this->draining && !status.links_down) {
    sharers.push_back(this->settings.gateway.host);
  }
  for (const auto& [name, peer_status] : peers) {
    const auto host = hosts.find(name);
    const bool is_entry_host =
        host != hosts.end() && host->second.IsEntryHost();
    if (is_entry_host && !peer_status->links_down) {
      sharers.push_back(name);
    }
  }
  this->dependencies.servers.SetSharers(this->settings.gateway.host,
                                        std::move(sharers));
  for (const policy::ServerLimit& limit : this->dependencies.servers.Limits()) {
    status.limits.push_back(
        {limit.server, limit.per_kilosecond,
         std::chrono::ceil<milliseconds>(now - limit.heard)});
  }
}

void ControlThread::ReportLoads() {
  const TimePoint now = this->dependencies.clock.Now();
  const bool is_entry_host = this->node->Options().self.IsEntryHost();
  if (!this->settings.gateway.scheduling.share_loads || !is_entry_host ||
      !this->load_follower.IsDue(now)) {
    return;
  }
  const state::ControlState& state = this->node->State();
  const RegionName& region = this->settings.gateway.region;
  const auto live = state.Live().find(region);
  if (live == state.Live().end()) {
    return;
  }
  this->entry_hosts_in_region = static_cast<std::uint32_t>(std::count_if(
      live->second.begin(), live->second.end(), [&](const HostName& name) {
        const auto host = state.Hosts().find(name);
        return host != state.Hosts().end() && host->second.IsEntryHost() &&
               !host->second.draining;
      }));
  const auto collector = this->load_follower.Due(
      control::LoadCollectors(region, this->node->Leader(), state.Hosts(),
                              live->second),
      now);
  if (!collector) {
    return;
  }
  policy::LoadReport report = this->dependencies.servers.MakeLoadReport();
  // Numbers of an earlier process of this host are lower.
  report.number += this->node->Options().self.incarnation;
  if (*collector == this->settings.gateway.host) {
    this->HandleLoadReport(*collector, report);
  } else {
    this->network->Send(*collector, std::move(report));
  }
}

void ControlThread::HandleLoadReport(const HostName& from,
                                     const policy::LoadReport& report) {
  const TimePoint now = this->dependencies.clock.Now();
  this->load_board.Accept(from, report, now);
  policy::LoadSummary summary = this->load_board.Summarize(report.number, now);
  if (from == this->settings.gateway.host) {
    this->HandleLoadSummary(from, std::move(summary));
  } else {
    this->network->Send(from, std::move(summary));
  }
}

void ControlThread::HandleLoadSummary(const HostName& from,
                                      policy::LoadSummary summary) {
  this->load_follower.NoteReply(from, this->dependencies.clock.Now());
  // A collector that has just been chosen, or that few hosts have chosen, knows
  // a part of the load: servers would look idle.
  if (summary.hosts < this->entry_hosts_in_region * kMinSummarizedShare) {
    return;
  }
  summary.number -= this->node->Options().self.incarnation;
  this->dependencies.servers.ApplyLoads(summary);
}

void ControlThread::ProbeRegions() {
  std::map<RegionName, std::vector<HostName>> by_region;
  for (const auto& [region, live] : this->node->State().Live()) {
    if (region != this->settings.gateway.region && !live.empty()) {
      by_region[region].assign(live.begin(), live.end());
    }
  }
  if (this->settings.gateway.scheduling.spill_ahead) {
    // Hosts with disks only do not know their region's servers.
    for (auto& [region, hosts] : by_region) {
      this->KeepEntryHosts(hosts);
    }
  }
  // The number of probes per round is bounded, whatever the number of regions.
  std::vector<RegionName> live_regions;
  for (const auto& [region, live] : by_region) {
    live_regions.push_back(region);
  }
  const std::size_t probes = std::min(live_regions.size(), kProbesPerRound);
  for (std::size_t i = 0; i < probes; ++i) {
    const auto& live =
        by_region.at(live_regions[this->next_region++ % live_regions.size()]);
    const HostName& host = live[this->random.Below(live.size())];
    const std::uint64_t number = this->next_probe++;
    this->probes_sent_at[number] = this->dependencies.clock.Now();
    this->Execute(this->node->Probe(host, number));
  }
  while (this->probes_sent_at.size() > 4 * by_region.size() + 4) {
    this->probes_sent_at.erase(this->probes_sent_at.begin());
  }
}

void ControlThread::KeepEntryHosts(std::vector<HostName>& hosts) const {
  const auto& records = this->node->State().Hosts();
  const auto is_other = [&](const HostName& name) {
    const auto record = records.find(name);
    return record == records.end() || !record->second.IsEntryHost();
  };
  if (!std::all_of(hosts.begin(), hosts.end(), is_other)) {
    std::erase_if(hosts, is_other);
  }
}

void ControlThread::PublishSnapshot() {
  const TimePoint now = this->dependencies.clock.Now();
  this->snapshot_at = now + kSnapshotInterval;
  auto snapshot = this->node->MakeSnapshot(now);
  if (snapshot->hosts != this->known_hosts) {
    this->known_hosts = snapshot->hosts;
    this->entry_hosts = static_cast<std::uint32_t>(snapshot->entry_hosts);
    this->ApplyHosts(*snapshot->hosts);
  }
  this->dependencies.servers.SetClosed(snapshot->closed_data_centres);
  this->dependencies.snapshots.Set(std::move(snapshot));
  this->PublishMetrics();
  ReturnFreeMemory();
}

void ControlThread::ApplyHosts(
    const std::map<HostName, state::HostRecord>& hosts) {
  if (this->node->IsDraining()) {
    this->drain_requested.store(true);
  }
  std::vector<state::HostRecord> records;
  for (const auto& [name, host] : hosts) {
    records.push_back(host);
  }
  this->network->SetHosts(records);
  this->LimitRetries();
}

void ControlThread::LimitRetries() {
  if (this->fleet_retries > 0 && this->entry_hosts > 0) {
    // Divides half of the limit among the hosts, because their retry budgets
    // are not synchronized with each other.
    this->dependencies.servers.SetRetryReserve(std::max<std::uint32_t>(
        1, this->fleet_retries / 2 / this->entry_hosts));
  }
}

void ControlThread::ApplySettings(const Settings& next) {
  const std::uint32_t retries = next.fleet_retries;
  const std::chrono::milliseconds freshness = next.times.key_freshness;
  this->network->Post([this, retries, freshness] {
    this->fleet_retries = retries;
    this->LimitRetries();
    this->node->SetKeyFreshness(freshness);
  });
}

void ControlThread::PublishMetrics() {
  Metrics& metrics = this->dependencies.metrics;
  const state::ControlState& state = this->node->State();
  metrics.Set("tamarackwing_control_processor_seconds",
              std::chrono::duration<double>(ThreadCpuTime()).count());
  metrics.Set("tamarackwing_control_sent_bytes",
              static_cast<double>(this->network->SentBytes()));
  metrics.Set("tamarackwing_set_version", static_cast<double>(state.Version()));
  metrics.Set("tamarackwing_applied_index",
              static_cast<double>(state.Applied()));
  metrics.Set("tamarackwing_is_leader", this->node->IsLeader() ? 1 : 0);
  metrics.Set("tamarackwing_quarantined_blocks",
              static_cast<double>(this->dependencies.quarantine.Size()));
  metrics.Set("tamarackwing_server_links_up",
              this->dependencies.servers.LinksAreDown() ? 0 : 1);
  metrics.Set("tamarackwing_ledger_operations",
              static_cast<double>(this->node->Ledger().Size()));
  const TimePoint now = this->dependencies.clock.Now();
  if (this->disk != nullptr) {
    this->PublishVoterMetrics(now);
    metrics.Set(
        "tamarackwing_disk_write_waiting_seconds",
        std::chrono::duration<double>(this->disk_watch.Waiting(now)).count());
    metrics.Set("tamarackwing_commit_behind",
                static_cast<double>(this->node->CommitBehind()));
  }
  if (this->settings.gateway.scheduling.share_loads) {
    const policy::SharedLoadState loads =
        this->dependencies.servers.LoadState();
    metrics.Set("tamarackwing_shared_loads_fresh", loads.is_fresh ? 1 : 0);
    metrics.Set("tamarackwing_slow_servers", loads.slow_servers);
  }
  if (now >= this->traffic_metrics_at) {
    this->traffic_metrics_at = now + kTrafficMetricsInterval;
    this->PublishTrafficMetrics();
    this->LogTraffic();
    this->spill_log.Publish(this->dependencies.regions.Spills(),
                            this->dependencies.metrics);
    if (this->disk != nullptr) {
      this->LogLoad();
    }
  }
}

void ControlThread::PublishVoterMetrics(TimePoint now) {
  Metrics& metrics = this->dependencies.metrics;
  metrics.Set("tamarackwing_voters",
              static_cast<double>(this->node->Voters().size()));
  if (const auto health = this->node->FindVoterHealth(now)) {
    metrics.Set("tamarackwing_voters_lost",
                static_cast<double>(health->lost.size()));
    metrics.Set("tamarackwing_voter_losses_left",
                static_cast<double>(health->losses_left));
  } else {
    // The values of an earlier leader would hide those of the present one.
    metrics.Remove("tamarackwing_voters_lost");
    metrics.Remove("tamarackwing_voter_losses_left");
  }
}

void ControlThread::LogLoad() {
  const hosts::SentTraffic unanswered = this->network->Unanswered();
  this->load.NoteAppend(this->node->TakeSlowestAppend());
  this->load.NoteLogCall(this->network->TakeSlowestLogCall());
  this->load.Log({this->turns.Counts(), unanswered.messages, unanswered.bytes,
                  this->node->CommitBehind()});
}

void ControlThread::PublishTrafficMetrics() {
  Metrics& metrics = this->dependencies.metrics;
  for (const auto& [kind, traffic] : this->network->Sent()) {
    const std::string suffix =
        std::string(kind.message) +
        (kind.crosses_regions ? "_to_other_regions" : "_in_region");
    metrics.Set("tamarackwing_control_sent_messages_" + suffix,
                static_cast<double>(traffic.messages));
    metrics.Set("tamarackwing_control_sent_bytes_" + suffix,
                static_cast<double>(traffic.bytes));
  }
  for (const auto& [kind, count] : this->turns.Counts()) {
    metrics.Set("tamarackwing_control_turn_seconds_" + std::string(kind),
                std::chrono::duration<double>(count.time).count());
  }
}

void ControlThread::LogTraffic() {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t most_bytes = 0;
  std::string_view most_kind;
  std::uint64_t most_messages = 0;
  std::string_view often_kind;
  for (const auto& [kind, traffic] : this->network->Sent()) {
    hosts::SentTraffic& logged = this->logged_traffic[kind];
    const std::uint64_t new_bytes = traffic.bytes - logged.bytes;
    const std::uint64_t new_messages = traffic.messages - logged.messages;
    messages += new_messages;
    if (new_messages > most_messages) {
      most_messages = new_messages;
      often_kind = kind.message;
    }
    bytes += new_bytes;
    if (new_bytes > most_bytes) {
      most_bytes = new_bytes;
      most_kind = kind.message;
    }
    logged = traffic;
  }
  if (bytes >= kLoggedTraffic) {
    LogEvent(Event::kControlTraffic, LogLevel::kInfo,
             {{"messages", std::to_string(messages)},
              {"bytes", std::to_string(bytes)},
              {"most", std::string(most_kind)},
              {"most_bytes", std::to_string(most_bytes)},
              {"often", std::string(often_kind)},
              {"often_messages", std::to_string(most_messages)}});
  }
}

void ControlThread::ExpireRequests() {
  const TimePoint now = this->dependencies.clock.Now();
  std::erase_if(this->changes, [&](auto& entry) {
    if (now - entry.second.since < kChangeTimeout) {
      return false;
    }
    this->node->DropProposal(entry.first);
    entry.second.callback({});
    return true;
  });
  std::erase_if(this->streams, [&](auto& entry) {
    if (now - entry.second.since < kStreamTimeout) {
      return false;
    }
    entry.second.callback(std::nullopt);
    return true;
  });
  while (!this->token_requests.empty() &&
         now - this->token_requests.begin()->second.since >= kTokenTimeout) {
    const PendingTokens pending =
        std::move(this->token_requests.begin()->second);
    this->token_requests.erase(this->token_requests.begin());
    this->silent_keepers[pending.keeper] = now + kKeeperSilence;
    pending.callback(std::nullopt);
  }
  for (auto& [number, pending] : this->inquiries) {
    this->TakeStep(pending, pending.inquiry.Expire(now));
  }
  std::erase_if(this->inquiries, [&](const auto& entry) {
    return entry.second.inquiry.IsDone(now);
  });
  std::erase_if(this->statuses, [&](auto& entry) {
    if (now - entry.second.since < std::chrono::seconds(2)) {
      return false;
    }
    entry.second.callback(std::nullopt);
    return true;
  });
}

void ControlThread::SetUpCallbacks() {
  gateway::StreamOrigins::Keepers keepers;
  keepers.tell = [this](const policy::StreamBegun& begun) {
    this->network->Post([this, begun] { this->TellKeepers(begun); });
  };
  keepers.ask = [this](std::uint64_t stream,
                       gateway::StreamOrigins::Callback callback) {
    this->network->Post(
        [this, stream, callback = std::move(callback)]() mutable {
          this->AskKeepers(stream, std::move(callback));
        });
  };
  this->dependencies.streams.SetKeepers(std::move(keepers));
  LeasedRateBudget::Keepers rate_keepers;
  rate_keepers.ask = [this](const policy::TokenRequest& request,
                            LeasedRateBudget::ReplyCallback callback) {
    this->network->Post(
        [this, request, callback = std::move(callback)]() mutable {
          this->AskForTokens(request, std::move(callback));
        });
  };
  rate_keepers.give_back = [this](const policy::TokenReturn& returned,
                                  const HostName& keeper) {
    this->network->Post(
        [this, returned, keeper] { this->ReturnTokens(returned, keeper); });
  };
  if (this->settings.gateway.scheduling.ask_other_keepers) {
    rate_keepers.inquire = [this](const policy::TokenRequest& request,
                                  TimePoint latest,
                                  LeasedRateBudget::DecisionCallback callback) {
      this->network->Post(
          [this, request, latest, callback = std::move(callback)]() mutable {
            this->Inquire(request, latest, std::move(callback));
          });
    };
  }
  this->dependencies.rates.SetKeepers(std::move(rate_keepers));
  ChunkBudget::TokenSources sources;
  sources.request = [this](policy::ChunkRequest request) {
    this->network->Post([this, request = std::move(request)] {
      this->Execute(
          this->node->RequestChunk(request, this->dependencies.clock.Now()));
    });
  };
  sources.settle = [this](policy::ChunkSettled settled) {
    this->network->Post([this, settled = std::move(settled)] {
      this->Execute(
          this->node->SettleChunk(settled, this->dependencies.clock.Now()));
    });
  };
  sources.slice = [this](const WorkspaceName& name) {
    constexpr TokenCount kSliceDenominator = 10'000;
    const auto snapshot = this->dependencies.snapshots.Get();
    const auto changing = snapshot->changing_shares.find(name);
    state::RegionShare share;
    if (changing != snapshot->changing_shares.end()) {
      share = changing->second;
    } else {
      const auto workspace = snapshot->set->workspaces.find(name);
      if (workspace != snapshot->set->workspaces.end()) {
        share =
            state::ShareIn(workspace->second, this->settings.gateway.region);
      }
    }
    return std::pair(share.rate * snapshot->slice / kSliceDenominator,
                     share.burst * snapshot->slice / kSliceDenominator);
  };
  this->dependencies.budget.SetSources(std::move(sources));
  this->dependencies.servers.SetOnAnnounced(
      [this](const policy::ServerReport& report) {
        this->network->Post([this, report] {
          std::erase_if(this->announced,
                        [&](const policy::ServerReport& known) {
                          return known.name == report.name;
                        });
          this->announced.push_back(report);
        });
      });
}

std::vector<state::HostRecord> ControlThread::KnownHosts() const {
  std::vector<state::HostRecord> hosts = this->settings.hosts;
  const Membership& membership = this->settings.membership;
  for (const std::string& seed : membership.seeds) {
    // A seed is known only by its address, which also serves as its name.
    state::HostRecord host;
    host.name = HostName(seed);
    host.peer_address = seed;
    host.peer_port = membership.peer_port;
    host.has_disk = true;
    if (host.name != this->settings.gateway.host) {
      hosts.push_back(std::move(host));
    }
  }
  return hosts;
}

control::ControlOptions ControlThread::MakeOptions() const {
  control::ControlOptions options;
  for (const state::HostRecord& host : this->settings.hosts) {
    if (host.name == this->settings.gateway.host) {
      options.self = host;
    }
  }
  options.self.incarnation = NewIncarnation();
  options.self.has_disk = this->disk != nullptr;
  options.self.reads_format = state::kNewestFormat;
  options.seeds = this->KnownHosts();
  options.voters = this->settings.voters.size();
  if (this->settings.membership.IsUsed()) {
    options.voters = this->settings.membership.voters;
    if (this->bootstraps_log && this->disk != nullptr) {
      for (const std::string& seed : this->settings.membership.seeds) {
        options.initial_voters.insert(HostName(seed));
      }
    }
  } else if (this->bootstraps_log || this->disk == nullptr) {
    options.initial_voters.insert(this->settings.voters.begin(),
                                  this->settings.voters.end());
  }
  const ControlTimes& times = this->settings.times;
  options.log.heartbeat = times.heartbeat;
  options.log.election_timeout = times.election;
  options.log.drift = times.election / 10;
  options.report = times.heartbeat;
  options.host_lost = times.host_lost;
  options.key_freshness = times.key_freshness;
  options.catch_up = this->settings.membership.catch_up;
  options.catch_up_wait = times.host_lost;
  options.chunk_life = times.chunk_life;
  options.rates.moves_known_leases =
      this->settings.gateway.scheduling.ask_other_keepers;
  options.server_lease = this->settings.servers.lease;
  return options;
}

}  // namespace tamarackwing::daemon
