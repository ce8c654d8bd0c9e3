#include "path_request.h"

#include <algorithm>
#include <utility>

#include "refused_header.h"
#include "tamarackwing/base/digest.h"
#include "tamarackwing/base/event.h"
#include "tamarackwing/base/hex.h"
#include "tamarackwing/gateway/block_quarantine.h"
#include "tamarackwing/gateway/stream_origins.h"
#include "tamarackwing/gateway/token_budget.h"
#include "tamarackwing/http/handoff.h"
#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::gateway {
namespace {

using policy::NextStep;
using policy::TryOutcome;
using std::chrono::milliseconds;

//! Minimum retry delay sent to the caller if no server is available: a server
//! that was lost renews its lease or is replaced in about this time.
constexpr milliseconds kServerRetryDelay{400};
//! Retry delay while draining: another host can serve the call immediately.
constexpr milliseconds kOtherHostRetryDelay{10};

//! Max time to wait for the hosts that know where a stream began: a few round
//! trips between regions.
constexpr milliseconds kMaxOriginWait{700};

//! Max blocks of a prompt in a log line.
constexpr std::size_t kLoggedBlocks = 8;

std::string_view OutcomeName(TryOutcome try_outcome) {
  switch (try_outcome) {
    case TryOutcome::kNotSent:
      return "not_sent";
    case TryOutcome::kNotRun:
      return "not_run";
    case TryOutcome::kLost:
      return "lost";
    case TryOutcome::kFailed:
      return "failed";
    case TryOutcome::kServed:
      return "served";
  }
  return "unknown";
}

}  // namespace

std::string_view PathRequest::StageName(AnswerStage stage) {
  switch (stage) {
    case AnswerStage::kNone:
      return "none";
    case AnswerStage::kHead:
      return "head";
    case AnswerStage::kBody:
      return "body";
  }
  return "unknown";
}

PathRequest::PathRequest(PathGateway& gateway,
                         PathCall call,
                         std::optional<ForwardedCall> forwarded,
                         http::ResponseWriter& writer,
                         http::asio::any_io_executor executor)
    : gateway(gateway),
      call(std::move(call)),
      forwarded(std::move(forwarded)),
      writer(writer),
      executor(std::move(executor)) {}

PathRequest::~PathRequest() = default;

http::asio::awaitable<void> PathRequest::Run() {
  const RequestCount::Guard guard(this->gateway.Calls());
  const PathGatewayDependencies& dependencies = this->gateway.Dependencies();
  this->started = dependencies.clock.Now();
  this->started_at = std::chrono::system_clock::now();
  this->snapshot = dependencies.snapshots.Get();
  if (this->snapshot->leader_contact != TimePoint()) {
    this->leader_contact_age = CeilMs(dependencies.freshness_clock.Now() -
                                      this->snapshot->leader_contact);
  }
  this->last_event = this->call.last_event;
  const std::weak_ptr<PathRequest> weak = this->weak_from_this();
  this->writer.OnPeerGone([weak] {
    const auto self = weak.lock();
    if (self) {
      self->caller_gone = true;
      if (self->current_connection != nullptr) {
        self->current_connection->Cancel();
      }
    }
  });
  Outcome refusal = co_await this->Serve();
  if (refusal && !this->caller_gone) {
    if (this->writer.HasStarted()) {
      // Abort, so that the caller can't mistake a truncated stream for a
      // complete one.
      this->LogCut(std::string(RefusalName(refusal->code)));
      this->writer.Abort();
    } else {
      http::Response response = dependencies.protocol.EncodeRefusal(*refusal);
      if (this->forwarded) {
        AddRefusedHeader(*refusal, this->plan ? this->plan->Sends() : 0,
                         this->call.id, response.head.headers);
      }
      const bool sent = co_await this->writer.Send(std::move(response));
      this->NoteWritten(sent);
    }
  }
  this->Finish(refusal);
}

http::asio::awaitable<PathRequest::Outcome> PathRequest::Serve() {
  Outcome refusal = this->FindRoute();
  if (!refusal) {
    refusal = this->Authorize();
  }
  if (refusal) {
    co_return refusal;
  }
  this->content = DigestContent(this->grant.workspace, this->call);
  this->held = this->call.shared_blocks;
  this->held.push_back(this->content);
  refusal = co_await this->FindOrigin();
  if (refusal) {
    co_return refusal;
  }
  this->ChooseService();
  if (!this->forwarded) {
    refusal = co_await this->ReserveTokens();
    if (refusal) {
      co_return refusal;
    }
  }
  this->NoteOffered();
  // The forwarding host limits the number of runs, so this host runs a
  // forwarded call at most once.
  const std::size_t max_runs = this->forwarded ? 1 : this->route->most_tries;
  this->plan.emplace(policy::TryRules{this->IsRepeatable(), max_runs});
  refusal = co_await this->TryAll();
  if (this->reservation != 0) {
    this->gateway.Dependencies().budget.Settle(
        this->grant.workspace, this->reservation,
        this->plan->MayHaveRun() ? this->tokens : 0);
  }
  co_return refusal;
}

PathRequest::Outcome PathRequest::FindRoute() {
  const PathGatewayDependencies& dependencies = this->gateway.Dependencies();
  if (this->gateway.IsRefusing()) {
    return RefuseNotRun(RefusalCode::kDraining, kOtherHostRetryDelay);
  }
  if (!this->snapshot->ready || this->snapshot->set_number == 0) {
    return RefuseNotRun(RefusalCode::kNotReady, kServerRetryDelay);
  }
  this->route = this->snapshot->paths->Find(this->call.authority,
                                            PathOf(this->call.target));
  if (this->route == nullptr) {
    // A stale configuration set may lack a route that has been added since, so
    // the route is reported as unknown only while the set is fresh.
    const bool is_fresh =
        dependencies.freshness_clock.Now() <= this->snapshot->keys_fresh_until;
    return is_fresh ? RefuseNotRun(RefusalCode::kUnknownRoute)
                    : RefuseNotRun(RefusalCode::kNotReady, kServerRetryDelay);
  }
  milliseconds effective_timeout = this->route->timeout;
  if (this->call.caller_timeout) {
    effective_timeout = std::min(effective_timeout, *this->call.caller_timeout);
  }
  this->deadline = this->started + effective_timeout;
  return std::nullopt;
}

PathRequest::Outcome PathRequest::Authorize() {
  const PathGatewayDependencies& dependencies = this->gateway.Dependencies();
  const TimePoint now = dependencies.freshness_clock.Now();
  if (this->route->open) {
    return std::nullopt;
  }
  if (this->forwarded) {
    this->call.key = this->forwarded->key;
  }
  if (!this->call.key) {
    return RefuseNotRun(RefusalCode::kKeyInvalid);
  }
  if (now > this->snapshot->keys_fresh_until) {
    return RefuseNotRun(RefusalCode::kKeyNotFresh, kServerRetryDelay);
  }
  auto checked = AuthorizeKey(*this->snapshot, *this->call.key,
                              this->gateway.Settings().region, now);
  if (!checked) {
    return RefuseNotRun(checked.error());
  }
  this->grant = std::move(*checked);
  return std::nullopt;
}

http::asio::awaitable<PathRequest::Outcome> PathRequest::FindOrigin() {
  const bool goes_on = this->call.last_event &&
                       this->route->kind == state::PathKind::kStream &&
                       this->route->resumable;
  if (!goes_on) {
    co_return std::nullopt;
  }
  this->has_begun = true;
  if (this->forwarded) {
    this->origin = this->forwarded->stream;
  } else if (!this->call.resumes.empty()) {
    using Found = std::optional<policy::StreamOrigin>;
    const auto handoff = std::make_shared<http::Handoff<Found>>(this->executor);
    this->stream = DigestStream(this->grant.workspace, this->call.resumes);
    this->gateway.Dependencies().streams.Find(
        *this->stream,
        [handoff](Found found) { handoff->Set(std::move(found)); });
    const auto found = co_await handoff->Wait(
        std::min(this->deadline, this->started + kMaxOriginWait));
    this->origin = found.value_or(std::nullopt);
  } else {
    // The caller does not say which stream it is. If all servers have one
    // version, it began at that one.
    this->ChooseService();
    const auto software =
        this->gateway.Dependencies().servers.SoleSoftware(this->service);
    if (software) {
      this->origin =
          policy::StreamOrigin{Sha256Prefix(this->service), *software,
                               this->gateway.Settings().region};
    }
  }
  const bool is_served =
      this->origin &&
      std::any_of(this->route->services.begin(), this->route->services.end(),
                  [&](const state::ServiceShare& share) {
                    return Sha256Prefix(share.service.Text()) ==
                           this->origin->service;
                  });
  LogEvent(Event::kStreamTakenUp,
           is_served ? LogLevel::kInfo : LogLevel::kWarning,
           {{"request", this->call.id},
            {"resumes", this->call.resumes},
            {"last_event", std::to_string(*this->call.last_event)},
            {"known", this->origin ? "yes" : "no"},
            {"software", this->origin ? ToHex(this->origin->software) : ""},
            {"region", this->origin ? this->origin->region.Text() : ""},
            {"asked_ms",
             std::to_string(CeilMs(this->gateway.Dependencies().clock.Now() -
                                   this->started)
                                .count())}});
  if (!is_served) {
    this->gateway.Dependencies().metrics.Count(
        "tamarackwing_streams_not_taken_up_total");
    co_return RefuseNotRun(RefusalCode::kVersionGone, kServerRetryDelay);
  }
  co_return std::nullopt;
}

void PathRequest::NoteEvents(const Target& target) {
  if (!this->has_begun) {
    this->has_begun = true;
    this->stream = DigestStream(this->grant.workspace, this->call.id);
    if (target.server) {
      this->origin = policy::StreamOrigin{Sha256Prefix(this->service),
                                          target.server->software_digest,
                                          this->gateway.Settings().region};
    } else {
      this->origin = this->forwarded_origin;
    }
  }
  const TimePoint now = this->gateway.Dependencies().clock.Now();
  const bool is_due = !this->origin_noted ||
                      now - *this->origin_noted >= StreamOrigins::kLife / 2;
  if (this->IsRepeatable() && this->origin && this->stream &&
      !this->forwarded && is_due) {
    this->origin_noted = now;
    this->gateway.Dependencies().streams.NoteBegun(*this->stream,
                                                   *this->origin);
  }
}

void PathRequest::ChooseService() {
  for (const state::ServiceShare& share : this->route->services) {
    if (this->origin &&
        Sha256Prefix(share.service.Text()) == this->origin->service) {
      this->service = share.service.Text();
      return;
    }
  }
  std::uint64_t total = 0;
  for (const state::ServiceShare& share : this->route->services) {
    total += share.weight;
  }
  // The hash of the call's id makes every host choose the same service for it.
  std::uint64_t point = policy::RendezvousKey(this->call.id) % total;
  for (const state::ServiceShare& share : this->route->services) {
    if (point < share.weight) {
      this->service = share.service.Text();
      return;
    }
    point -= share.weight;
  }
}

bool PathRequest::MayRunIn(const RegionName& region) const {
  return gateway::MayRunIn(*this->snapshot, this->grant.workspace, *this->route,
                           region);
}

http::asio::awaitable<PathRequest::Outcome> PathRequest::ReserveTokens() {
  const auto workspace =
      this->snapshot->set->workspaces.find(this->grant.workspace);
  if (workspace == this->snapshot->set->workspaces.end() ||
      workspace->second.rate == 0) {
    co_return std::nullopt;
  }
  this->tokens = this->call.prompt ? this->call.prompt->prompt_tokens +
                                         this->call.prompt->output_tokens
                                   : workspace->second.plain_tokens;
  const PathGatewayDependencies& dependencies = this->gateway.Dependencies();
  const TimePoint now = dependencies.clock.Now();
  // The other half of the latency target is for the response itself.
  const Duration allowed =
      (this->route->target_latency > milliseconds(0)
           ? std::min<Duration>(this->deadline - this->started,
                                this->route->target_latency)
           : this->deadline - this->started) /
      2;
  const Duration wait =
      std::max(Duration::zero(), this->started + allowed - now);
  const auto handoff =
      std::make_shared<http::Handoff<BudgetAnswer>>(this->executor);
  TokenBudget& budget = dependencies.budget;
  budget.Reserve(this->grant.workspace, this->tokens,
                 dependencies.freshness_clock.Now() + wait,
                 [handoff, &budget, workspace = this->grant.workspace](
                     const BudgetAnswer& answer) {
                   if (!handoff->Set(answer) && answer.granted) {
                     budget.Settle(workspace, answer.reservation, 0);
                   }
                 });
  const auto answer = co_await handoff->Wait(this->deadline);
  if (!answer || !answer->granted) {
    LogEvent(Event::kTokensRefused, LogLevel::kInfo,
             {{"request", this->call.id},
              {"workspace", this->grant.workspace.Text()},
              {"tokens", std::to_string(this->tokens)},
              {"host_rate", std::to_string(answer ? answer->host_rate : 0)},
              {"fleet_rate", std::to_string(answer ? answer->fleet_rate : 0)},
              {"keepers", answer ? answer->keepers : ""},
              {"retry_ms",
               std::to_string(answer ? answer->retry_after.count() : 0)}});
    co_return RefuseNotRun(RefusalCode::kOverBudget,
                           answer ? answer->retry_after : kServerRetryDelay);
  }
  this->reservation = answer->reservation;
  co_return std::nullopt;
}

http::asio::awaitable<PathRequest::Outcome> PathRequest::TryAll() {
  ServerDirectory& servers = this->gateway.Dependencies().servers;
  servers.NoteRequest(this->service);
  while (true) {
    if (this->caller_gone || this->IsPastDeadline()) {
      co_return this->StopRefusal(RefusalCode::kDeadlinePassed);
    }
    const Outcome quarantined = this->CheckQuarantine();
    if (quarantined && !this->held_response) {
      co_return quarantined;
    }
    const bool is_retry = this->plan->Sends() > 0;
    const auto target = quarantined ? std::nullopt : this->PickTarget();
    const bool may_send =
        target && (!is_retry || servers.TryRetry(this->service));
    if (!may_send) {
      if (target && target->server) {
        servers.Release(target->server->name, this->pending_prefill);
        this->pending_prefill = 0;
      }
      if (this->held_response) {
        const bool sent =
            co_await this->writer.Send(std::move(*this->held_response));
        this->NoteWritten(sent);
        co_return std::nullopt;
      }
      const auto allowance = servers.NextAllowance(this->service);
      if (allowance && !this->shed) {
        this->retry_after = std::max(this->retry_after, CeilMs(*allowance));
      }
      const RefusalCode none = this->has_begun && !target
                                   ? RefusalCode::kVersionGone
                                   : RefusalCode::kNoBackendServer;
      co_return this->StopRefusal(this->shed ? RefusalCode::kQueueFull : none);
    }
    const TryOutcome try_outcome = co_await this->Try(*target);
    this->NotePrefillDone(*target);
    this->NoteContents(*target, try_outcome);
    this->LogTry(*target, try_outcome);
    if (target->server) {
      servers.Finish(target->server->name, this->call.id, this->signal,
                     this->sent_at);
    }
    switch (this->plan->Next(try_outcome)) {
      case NextStep::kTryAnother:
        break;
      case NextStep::kPassOn:
        if (this->held_response) {
          const bool sent =
              co_await this->writer.Send(std::move(*this->held_response));
          this->NoteWritten(sent);
        }
        co_return std::nullopt;
      case NextStep::kRefuse:
      case NextStep::kGiveUp:
        co_return this->StopRefusal(RefusalCode::kBackendServerFailed);
    }
  }
}

PathRequest::Outcome PathRequest::CheckQuarantine() {
  const auto permission =
      this->gateway.Dependencies().quarantine.Check(this->held);
  if (permission) {
    this->is_trial = *permission == SendPermission::kTrial;
    return std::nullopt;
  }
  const QuarantineRefusal& refusal = permission.error();
  LogEvent(Event::kQuarantineRefused, LogLevel::kInfo,
           {{"request", this->call.id},
            {"block", ToHex(refusal.block)},
            {"retry_ms", std::to_string(refusal.retry_after.count())},
            {"age_ms", std::to_string(refusal.age.count())}});
  this->retry_after = std::max(this->retry_after, refusal.retry_after);
  return this->StopRefusal(RefusalCode::kQuarantined);
}

void PathRequest::NoteContents(const Target& target, TryOutcome try_outcome) {
  if (!target.server) {
    return;
  }
  BlockQuarantine& quarantine = this->gateway.Dependencies().quarantine;
  // A failure may come before the server has begun what crashes it.
  if (try_outcome == TryOutcome::kServed) {
    quarantine.NoteAnswered(this->held);
  } else if (try_outcome == TryOutcome::kLost && this->connection_broke &&
             !this->is_sound) {
    quarantine.NoteBroken(target.server->name, this->call.id, this->content,
                          this->call.shared_blocks);
  }
}

bool PathRequest::IsRepeatable() const {
  return this->route->kind == state::PathKind::kIdempotent ||
         (this->route->kind == state::PathKind::kStream &&
          this->route->resumable);
}

bool PathRequest::IsPastDeadline() const {
  return this->gateway.Dependencies().clock.Now() >= this->deadline;
}

milliseconds PathRequest::TimeLeft() const {
  const Duration left =
      this->deadline - this->gateway.Dependencies().clock.Now();
  return std::max(milliseconds(0), std::chrono::floor<milliseconds>(left));
}

Refusal PathRequest::StopRefusal(RefusalCode code) const {
  const bool may_have_run =
      this->plan->Stop() == NextStep::kGiveUp || this->writer.HasStarted();
  if (may_have_run) {
    return RefuseOutcomeUnknown(code);
  }
  return RefuseNotRun(code, std::max(this->retry_after, kServerRetryDelay));
}

void PathRequest::NoteBytes() {
  const TimePoint now = this->gateway.Dependencies().clock.Now();
  if (this->first_byte_at) {
    this->longest_gap = std::max(this->longest_gap, now - this->last_byte_at);
  } else {
    this->first_byte_at = now;
  }
  this->last_byte_at = now;
}

void PathRequest::NotePrefillDone(const Target& target) {
  if (target.server && this->pending_prefill > 0) {
    this->gateway.Dependencies().servers.NoteFirstOutput(target.server->name,
                                                         this->pending_prefill);
  }
  this->pending_prefill = 0;
}

void PathRequest::LogTry(const Target& target, TryOutcome try_outcome) const {
  if (try_outcome == TryOutcome::kServed) {
    return;
  }
  const Duration sent_for =
      this->gateway.Dependencies().clock.Now() - this->try_started;
  LogEvent(
      Event::kTryEnded, LogLevel::kInfo,
      {{"request", this->call.id},
       {"service", this->service},
       {"peer", this->peer},
       {"software", this->software},
       {"forwarded", target.host ? "yes" : "no"},
       {"end", std::string(OutcomeName(try_outcome))},
       {"answer", std::string(StageName(this->answer_stage))},
       {"body", std::string(AnswerEndName(this->answer_end))},
       {"framing", std::string(http::BodyFramingName(this->answer_framing))},
       {"sent_ms", std::to_string(CeilMs(sent_for).count())},
       {"content", ToHex(this->content)},
       {"blocks", ToHexList(this->call.shared_blocks, kLoggedBlocks)},
       {"left_ms", std::to_string(this->TimeLeft().count())}});
}

void PathRequest::NoteWritten(bool is_written) const {
  if (!is_written && !this->caller_gone) {
    this->LogCut("write_failed");
  }
}

void PathRequest::LogCut(const std::string& cause) const {
  const TimePoint now = this->gateway.Dependencies().clock.Now();
  LogEvent(Event::kAnswerCut, LogLevel::kWarning,
           {{"request", this->call.id},
            {"cause", cause},
            {"begun", this->writer.HasStarted() ? "yes" : "no"},
            {"caller_closed", this->writer.IsPeerGone() ? "yes" : "no"},
            {"forwarded", this->forwarded ? "yes" : "no"},
            {"peer", this->peer},
            {"body", std::string(AnswerEndName(this->answer_end))},
            {"silent_ms",
             this->first_byte_at
                 ? std::to_string(CeilMs(now - this->last_byte_at).count())
                 : ""},
            {"left_ms", std::to_string(this->TimeLeft().count())}});
}

void PathRequest::Finish(const Outcome& refusal) {
  const PathGatewayDependencies& dependencies = this->gateway.Dependencies();
  std::string outcome =
      refusal ? std::string(RefusalName(refusal->code)) : "served";
  if (this->caller_gone) {
    outcome = "caller_gone";
  }
  const Duration took = dependencies.clock.Now() - this->started;
  dependencies.metrics.Count("tamarackwing_path_calls_total{outcome=\"" +
                             outcome + "\"}");
  dependencies.metrics.Record("tamarackwing_path_call_seconds", took);
  const std::size_t sends = this->plan ? this->plan->Sends() : 0;
  LogEvent(
      Event::kRequestEnded, LogLevel::kInfo,
      {{"request", this->call.id},
       {"outcome", outcome},
       {"ran", refusal && refusal->ran == Ran::kNo ? "no" : "maybe"},
       {"route", this->route == nullptr ? "" : this->route->name.Text()},
       {"workspace", this->grant.workspace.Text()},
       {"tokens", std::to_string(this->tokens)},
       {"set", std::to_string(this->snapshot->set_number)},
       {"word_age_ms", std::to_string(this->leader_contact_age.count())},
       {"peer", this->peer},
       {"software", this->software},
       {"resumes", this->call.resumes},
       {"body", std::string(AnswerEndName(this->answer_end))},
       {"framing", std::string(http::BodyFramingName(this->answer_framing))},
       {"sends", std::to_string(sends)},
       {"load", std::to_string(this->server_load)},
       {"wait_ms", std::to_string(CeilMs(this->slot_wait).count())},
       {"first_ms",
        this->first_byte_at
            ? std::to_string(
                  CeilMs(*this->first_byte_at - this->started).count())
            : ""},
       {"gap_ms", std::to_string(CeilMs(this->longest_gap).count())},
       {"last_event",
        this->last_event ? std::to_string(*this->last_event) : ""},
       {"ms", std::to_string(CeilMs(took).count())}});
  Span span;
  span.context = this->trace;
  span.name = this->forwarded ? "serve forwarded path" : "serve path";
  span.start = this->started_at;
  span.end = std::chrono::system_clock::now();
  span.workspace = this->grant.workspace.Text();
  span.peer = this->peer;
  span.outcome = std::move(outcome);
  dependencies.spans.Write(span);
}

}  // namespace tamarackwing::gateway
