#include "served_request.h"

#include <algorithm>
#include <utility>

#include "answer_reader.h"
#include "backend_exchange.h"
#include "backend_request.h"
#include "cold_allowance.h"
#include "tamarackwing/base/digest.h"
#include "tamarackwing/base/event.h"
#include "tamarackwing/callers/refusal_response.h"
#include "tamarackwing/http/response_writer.h"

namespace tamarackwing::gateway {
namespace {

using http::ConnectionError;

constexpr unsigned kServerError = 500;
constexpr unsigned kTooManyRequests = 429;

bool IsRetryableStatus(unsigned status) {
  return status >= kServerError || status == kTooManyRequests;
}

}  // namespace

ServedRequest::ServedRequest(Gateway& gateway,
                             callers::CallerRequest request,
                             std::optional<ForwardedIdentity> forwarded,
                             http::ResponseWriter& writer,
                             http::asio::any_io_executor executor)
    : gateway(gateway),
      request(std::move(request)),
      forwarded(std::move(forwarded)),
      writer(writer),
      executor(std::move(executor)) {}

ServedRequest::~ServedRequest() = default;

http::asio::awaitable<void> ServedRequest::Run() {
  const RequestCount::Guard guard(this->gateway.Requests());
  const GatewayDependencies& dependencies = this->gateway.Dependencies();
  this->started = dependencies.clock.Now();
  this->started_at = std::chrono::system_clock::now();
  this->snapshot = dependencies.snapshots.Get();
  SeededRandom random(std::hash<std::string>{}(
      this->gateway.Settings().host.Text() +
      std::to_string(this->gateway.NextRequest()) +
      std::to_string(this->started_at.time_since_epoch().count())));
  this->trace = StartTrace(this->request.head.trace, random);
  if (this->request.head.trace) {
    this->parent_span = this->request.head.trace->span_id;
  }
  Outcome refusal = co_await this->Serve();
  this->ReleaseSlot();
  if (this->reservation != 0) {
    dependencies.budget.Settle(this->grant.workspace, this->reservation,
                               this->used_tokens);
  }
  if (this->active_id != 0) {
    dependencies.active.Remove(this->active_id);
  }
  if (refusal && !this->caller_gone) {
    if (this->writer.HasStarted()) {
      LogEvent(Event::kStreamEnded, LogLevel::kInfo,
               {{"code", std::string(RefusalName(refusal->code))},
                {"trace", this->trace.trace_id}});
      co_await this->writer.WritePiece(callers::MakeRefusalEvent(*refusal));
      this->writer.Abort();
    } else {
      co_await this->writer.Send(callers::MakeRefusalResponse(*refusal));
    }
  }
  this->Finish(refusal);
}

void ServedRequest::Cancel(RefusalCode reason) {
  http::asio::post(this->executor, [self = this->shared_from_this(), reason] {
    if (!self->cancelled) {
      self->cancelled = reason;
    }
    self->Interrupt();
  });
}

http::asio::awaitable<ServedRequest::Outcome> ServedRequest::Serve() {
  Outcome refusal = this->Resolve();
  if (!refusal) {
    refusal = this->Authorize();
  }
  if (!refusal) {
    refusal = this->CheckPreconditions();
  }
  if (refusal) {
    co_return refusal;
  }
  const GatewayDependencies& dependencies = this->gateway.Dependencies();
  if (!this->grant.key.IsEmpty()) {
    const std::weak_ptr<ServedRequest> weak = this->weak_from_this();
    this->active_id =
        dependencies.active.Add(this->grant.key, [weak](RefusalCode reason) {
          if (const auto self = weak.lock()) {
            self->Cancel(reason);
          }
        });
    // Check again: a withdrawal between Authorize and Add found no active
    // request to cancel.
    const auto newest = dependencies.snapshots.Get();
    if (newest->withdrawn->contains(this->grant.key)) {
      co_return RefuseNotRun(RefusalCode::kKeyWithdrawn);
    }
  }
  const std::weak_ptr<ServedRequest> weak = this->weak_from_this();
  this->writer.OnPeerGone([weak] {
    if (const auto self = weak.lock()) {
      self->caller_gone = true;
      if (self->route->idempotent) {
        self->Interrupt();
      }
    }
  });
  if (!this->forwarded) {
    refusal = co_await this->ReserveTokens();
    if (refusal) {
      co_return refusal;
    }
  }
  if (this->ShouldForward()) {
    co_return co_await this->Forward();
  }
  refusal = co_await this->AcquireSlot();
  if (refusal) {
    co_return refusal;
  }
  if (this->route->idempotent) {
    co_return co_await this->ServeIdempotent();
  }
  co_return co_await this->ServeOperation();
}

ServedRequest::Outcome ServedRequest::Resolve() {
  if (this->request.head.target == callers::CallerTarget::kModel) {
    const auto parsed = callers::ParseModelCall(this->request.body);
    if (!parsed) {
      return RefuseNotRun(parsed.error());
    }
    const RouteName& named = this->request.head.route;
    if (!named.IsEmpty() && named != parsed->route) {
      return RefuseNotRun(RefusalCode::kMalformedRequest);
    }
    this->call = *parsed;
    this->request.head.route = parsed->route;
  }
  const auto found = FindRoute(*this->snapshot, this->request.head.route);
  if (!found) {
    return RefuseNotRun(found.error());
  }
  this->route = **found;
  const bool is_model = this->route->kind == state::RouteKind::kModel;
  if (is_model != this->call.has_value()) {
    return RefuseNotRun(RefusalCode::kUnknownRoute);
  }
  this->target =
      is_model ? this->route->model_version.Text() : this->route->name.Text();
  const auto max_deadline = this->route->deadline;
  const auto requested_deadline =
      this->request.head.deadline.value_or(max_deadline);
  this->deadline = this->started + std::min(requested_deadline, max_deadline);
  return std::nullopt;
}

ServedRequest::Outcome ServedRequest::Authorize() {
  const GatewayDependencies& dependencies = this->gateway.Dependencies();
  if (this->forwarded) {
    const auto checked = AuthorizeKey(*this->snapshot, this->forwarded->key,
                                      this->gateway.Settings().region,
                                      dependencies.freshness_clock.Now());
    if (this->forwarded->key.IsEmpty() && this->route->open) {
      return std::nullopt;
    }
    if (!checked) {
      return RefuseNotRun(checked.error());
    }
    if (checked->workspace != this->forwarded->workspace) {
      return RefuseNotRun(RefusalCode::kKeyInvalid);
    }
    this->grant = *checked;
    return std::nullopt;
  }
  if (!this->request.head.key) {
    if (this->route->open && this->route->idempotent) {
      return std::nullopt;
    }
    return RefuseNotRun(RefusalCode::kKeyInvalid);
  }
  const auto checked = AuthorizeKey(
      *this->snapshot, DigestKey(*this->request.head.key),
      this->gateway.Settings().region, dependencies.freshness_clock.Now());
  if (!checked) {
    return RefuseNotRun(checked.error());
  }
  this->grant = *checked;
  return std::nullopt;
}

ServedRequest::Outcome ServedRequest::CheckPreconditions() {
  if (this->gateway.IsDraining()) {
    Refusal refusal = RefuseNotRun(RefusalCode::kDraining);
    refusal.hosts =
        this->gateway.HostsFor(*this->snapshot, this->grant.workspace);
    return refusal;
  }
  if (CarriesKey(this->request)) {
    return RefuseNotRun(RefusalCode::kMalformedRequest);
  }
  if (!MayRunIn(*this->snapshot, this->grant.workspace, *this->route,
                this->gateway.Settings().region)) {
    Refusal refusal = RefuseNotRun(RefusalCode::kResidency);
    refusal.hosts =
        this->gateway.HostsFor(*this->snapshot, this->grant.workspace);
    return refusal;
  }
  if (!this->route->idempotent && !this->request.head.idempotency_key) {
    return RefuseNotRun(RefusalCode::kIdempotencyKeyMissing);
  }
  return std::nullopt;
}

http::asio::awaitable<ServedRequest::Outcome> ServedRequest::ReserveTokens() {
  const TokenCount tokens = this->RequestedTokens();
  this->used_tokens = 0;
  auto handoff = std::make_shared<http::Handoff<BudgetAnswer>>(this->executor);
  this->interrupt_wait = [handoff] { handoff->Interrupt(); };
  TokenBudget& budget = this->gateway.Dependencies().budget;
  const WorkspaceName workspace = this->grant.workspace;
  const GatewayDependencies& dependencies = this->gateway.Dependencies();
  const TimePoint latest =
      dependencies.freshness_clock.Now() +
      std::max(Duration::zero(), this->deadline - dependencies.clock.Now());
  budget.Reserve(workspace, tokens, latest,
                 [handoff, &budget, workspace](BudgetAnswer answer) {
                   if (!handoff->Set(answer) && answer.granted) {
                     budget.Settle(workspace, answer.reservation, 0);
                   }
                 });
  const auto answer = co_await handoff->Wait(this->deadline);
  this->interrupt_wait = nullptr;
  if (answer && answer->granted) {
    this->reservation = answer->reservation;
  }
  if (this->cancelled) {
    co_return RefuseNotRun(*this->cancelled);
  }
  if (!answer) {
    co_return RefuseNotRun(RefusalCode::kDeadlinePassed);
  }
  if (!answer->granted) {
    Refusal refusal =
        RefuseNotRun(RefusalCode::kOverBudget, answer->retry_after);
    refusal.hosts = this->gateway.HostsFor(*this->snapshot, workspace);
    co_return refusal;
  }
  co_return std::nullopt;
}

http::asio::awaitable<ServedRequest::Outcome> ServedRequest::AcquireSlot() {
  const GatewayDependencies& dependencies = this->gateway.Dependencies();
  const auto expected = dependencies.servers.ExpectedTime(this->Query());
  if (!expected) {
    co_return RefuseNotRun(RefusalCode::kNoBackendServer);
  }
  const TimePoint now = dependencies.clock.Now();
  const Duration wait =
      dependencies.gate.EstimateWait(this->target, this->grant.workspace);
  if (now + wait + *expected > this->deadline) {
    Refusal refusal = RefuseNotRun(
        RefusalCode::kDeadlineUnreachable,
        std::chrono::duration_cast<std::chrono::milliseconds>(wait));
    co_return refusal;
  }
  policy::QueuedRequest queued;
  queued.id = this->gateway.NextRequest();
  queued.workspace = this->grant.workspace;
  queued.weight = this->grant.weight;
  queued.tokens = this->RequestedTokens();
  queued.latest_start = this->deadline - *expected;
  this->queue_id = queued.id;
  auto handoff = std::make_shared<http::Handoff<Admission>>(this->executor);
  this->interrupt_wait = [handoff] { handoff->Interrupt(); };
  AdmissionGate& gate = dependencies.gate;
  gate.Enter(this->target, std::move(queued),
             [handoff, &gate, target = this->target](Admission admission) {
               if (!handoff->Set(admission) && admission == Admission::kStart) {
                 gate.Leave(target, Duration::zero());
               }
             });
  const auto admission = co_await handoff->Wait(this->deadline);
  this->interrupt_wait = nullptr;
  if (!admission) {
    gate.Cancel(this->target, this->grant.workspace, this->queue_id);
  }
  this->holds_slot = admission == Admission::kStart;
  this->slot_acquired_at = dependencies.clock.Now();
  if (this->cancelled) {
    co_return RefuseNotRun(*this->cancelled);
  }
  if (admission == Admission::kQueueFull) {
    co_return RefuseNotRun(
        RefusalCode::kQueueFull,
        std::chrono::duration_cast<std::chrono::milliseconds>(wait));
  }
  if (admission != Admission::kStart || this->caller_gone) {
    co_return RefuseNotRun(RefusalCode::kDeadlineUnreachable);
  }
  co_return std::nullopt;
}

void ServedRequest::ReleaseSlot() {
  if (!this->holds_slot) {
    return;
  }
  this->holds_slot = false;
  const GatewayDependencies& dependencies = this->gateway.Dependencies();
  dependencies.gate.Leave(this->target,
                          dependencies.clock.Now() - this->slot_acquired_at);
}

http::asio::awaitable<ServedRequest::Outcome> ServedRequest::ServeIdempotent() {
  const GatewayDependencies& dependencies = this->gateway.Dependencies();
  dependencies.servers.NoteRequest(this->target);
  Refusal last = RefuseNotRun(RefusalCode::kNoBackendServer);
  bool fresh = false;
  for (int attempt = 0; attempt < kMaxTries; ++attempt) {
    if (attempt > 0 && !dependencies.servers.TryRetry(this->target)) {
      break;
    }
    const auto choice = dependencies.servers.Choose(this->Query());
    if (!choice) {
      break;
    }
    this->peer = choice->name.Text();
    const TryOutcome outcome = co_await this->TryServer(*choice, fresh);
    const bool failed = outcome.result == TryResult::kTryAnother;
    dependencies.servers.Finish(choice->name, this->trace.trace_id,
                                HealthSignalOf(failed),
                                dependencies.servers.Now());
    if (!failed) {
      co_return outcome.refusal;
    }
    this->tried.insert(choice->name);
    last = outcome.refusal.value_or(last);
    fresh = true;
    if (this->cancelled || this->caller_gone ||
        dependencies.clock.Now() >= this->deadline) {
      break;
    }
  }
  co_return last;
}

http::asio::awaitable<ServedRequest::TryOutcome> ServedRequest::TryServer(
    policy::ServerChoice choice,
    bool fresh) {
  const http::Endpoint endpoint = EndpointOf(choice);
  backend_servers::ConnectionPool& pool = this->gateway.PoolOf(this->executor);
  auto acquired = co_await pool.Acquire(
      endpoint, this->deadline,
      fresh ? backend_servers::kFresh : backend_servers::kAnyIdle);
  if (!acquired) {
    co_return TryOutcome{TryResult::kTryAnother,
                         this->ConnectionErrorRefusal(acquired.error())};
  }
  backend_servers::PooledConnection connection = std::move(*acquired);
  this->current_connection = connection.connection.get();
  if (this->cancelled || this->caller_gone) {
    connection.connection->Cancel();
  }
  const bool reused = connection.reused;
  if (!reused) {
    this->gateway.Dependencies().servers.NoteConnected();
  }
  auto sent = co_await connection.connection->Send(
      this->BackendRequest(endpoint), this->deadline);
  Expected<http::ResponseHead, ConnectionError> head =
      unexpected(ConnectionError::kSendFailed);
  if (sent) {
    head = co_await connection.connection->ReadHead(
        this->FirstByteDeadline(reused, choice.expected));
  }
  if (!head) {
    this->current_connection = nullptr;
    const bool stale =
        reused && head.error() != ConnectionError::kInvalidStatus &&
        !this->cancelled && !this->caller_gone && this->TimeLeft().count() > 0;
    if (stale) {
      // The reused connection may have failed rather than the server, so try
      // the same server on a new connection.
      connection.connection->Cancel();
      co_return co_await this->TryServer(choice, true);
    }
    const Refusal refusal = this->ConnectionErrorRefusal(head.error());
    const bool gave_up = this->cancelled || this->caller_gone;
    co_return TryOutcome{gave_up ? TryResult::kDone : TryResult::kTryAnother,
                         refusal};
  }
  TryOutcome outcome =
      co_await this->RelayResponse(choice, connection, std::move(*head));
  this->current_connection = nullptr;
  pool.Release(endpoint, std::move(connection));
  co_return outcome;
}

http::asio::awaitable<ServedRequest::TryOutcome> ServedRequest::RelayResponse(
    const policy::ServerChoice& choice,
    backend_servers::PooledConnection& connection,
    http::ResponseHead head) {
  const GatewayDependencies& dependencies = this->gateway.Dependencies();
  if (IsRetryableStatus(head.status)) {
    connection.connection->Cancel();
    co_return TryOutcome{
        TryResult::kTryAnother,
        RefuseOutcomeUnknown(RefusalCode::kBackendServerFailed)};
  }
  dependencies.metrics.Record("tamarackwing_first_byte_seconds",
                              dependencies.clock.Now() - this->started);
  if (this->call && choice.name.Text().size() > 0) {
    dependencies.servers.NotePrefix(choice.name, this->call->prefix);
  }
  if (ContentType(head).starts_with(kEventStream)) {
    co_return co_await this->RelayStream(choice, *connection.connection,
                                         std::move(head));
  }
  co_return co_await this->RelayFullResponse(
      EndpointOf(choice), *connection.connection, std::move(head));
}

http::asio::awaitable<ServedRequest::TryOutcome>
ServedRequest::RelayFullResponse(http::Endpoint endpoint,
                                 http::Connection& connection,
                                 http::ResponseHead head) {
  http::Response response;
  response.head = RelayedHead(head);
  ConnectionCheck sender(this->gateway.PoolOf(this->executor),
                         std::move(endpoint), this->IsLeaving());
  AnswerReader reader(connection, nullptr, sender);
  while (true) {
    auto piece = co_await reader.Read(this->deadline);
    if (!piece) {
      const bool gave_up = this->cancelled || this->caller_gone;
      co_return TryOutcome{gave_up ? TryResult::kDone : TryResult::kTryAnother,
                           this->ConnectionErrorRefusal(piece.error())};
    }
    if (piece->is_end) {
      break;
    }
    if (response.body.size() + piece->bytes.size() >
        this->gateway.Settings().answer_bytes) {
      connection.Cancel();
      co_return TryOutcome{TryResult::kDone,
                           RefuseOutcomeUnknown(RefusalCode::kTooLarge)};
    }
    response.body += piece->bytes;
  }
  const TokenCount reserved = this->RequestedTokens();
  this->used_tokens = UsedTokens(response.body, reserved);
  co_await this->writer.Send(std::move(response));
  co_return TryOutcome{};
}

bool ServedRequest::IsLeaving() const {
  return this->gateway.Dependencies().servers.IsLeaving(
      BackendServerName(this->peer));
}

Refusal ServedRequest::ConnectionErrorRefusal(ConnectionError error) const {
  const bool not_sent = error == ConnectionError::kConnectFailed;
  RefusalCode code = RefusalCode::kBackendServerFailed;
  if (this->cancelled) {
    code = *this->cancelled;
  } else if (this->TimeLeft().count() <= 0) {
    code = RefusalCode::kDeadlinePassed;
  }
  // Even if this try was not sent, an earlier one may have run.
  return not_sent && this->tried.empty() ? RefuseNotRun(code)
                                         : RefuseOutcomeUnknown(code);
}

TokenCount ServedRequest::RequestedTokens() const {
  return this->call ? this->call->prompt_tokens + this->call->output_tokens
                    : kServiceTokens;
}

policy::ServerQuery ServedRequest::Query() const {
  policy::ServerQuery query;
  query.target = this->target;
  query.data_centre = this->gateway.Settings().data_centre;
  query.tried = this->tried;
  if (this->call) {
    query.prompt_tokens = this->call->prompt_tokens;
    query.output_tokens = this->call->output_tokens;
    query.prefix = this->call->prefix;
  }
  query.cold_allowance =
      MakeColdAllowance(this->snapshot, this->gateway.Settings(), this->target);
  return query;
}

http::Request ServedRequest::BackendRequest(
    const http::Endpoint& endpoint) const {
  BackendRequestContext context;
  context.workspace = this->grant.workspace;
  context.trace = this->trace;
  context.time_left = this->TimeLeft();
  context.host = this->gateway.Settings().host;
  context.authority = Authority(endpoint);
  return MakeBackendRequest(this->request, context);
}

std::chrono::milliseconds ServedRequest::TimeLeft() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      this->deadline - this->gateway.Dependencies().clock.Now());
}

TimePoint ServedRequest::FirstByteDeadline(bool reused,
                                           Duration expected) const {
  if (!reused) {
    return this->deadline;
  }
  const TimePoint silence_deadline =
      this->gateway.Dependencies().clock.Now() + expected +
      this->gateway.Settings().first_byte_silence;
  return std::min(silence_deadline, this->deadline);
}

void ServedRequest::Interrupt() {
  if (this->interrupt_wait) {
    this->interrupt_wait();
  }
  if (this->current_connection != nullptr) {
    this->current_connection->Cancel();
  }
}

void ServedRequest::Finish(const Outcome& refusal) {
  const GatewayDependencies& dependencies = this->gateway.Dependencies();
  const std::string outcome =
      refusal ? std::string(RefusalName(refusal->code)) : "served";
  dependencies.metrics.Count("tamarackwing_requests_total{outcome=\"" +
                             outcome + "\"}");
  dependencies.metrics.Record("tamarackwing_request_seconds",
                              dependencies.clock.Now() - this->started);
  if (refusal) {
    LogEvent(Event::kRequestRefused, LogLevel::kDebug,
             {{"code", outcome},
              {"workspace", this->grant.workspace.Text()},
              {"trace", this->trace.trace_id}});
  }
  Span span;
  span.context = this->trace;
  span.parent_span_id = this->parent_span;
  span.name = this->forwarded ? "serve forwarded" : "serve";
  span.start = this->started_at;
  span.end = std::chrono::system_clock::now();
  span.workspace = this->grant.workspace.Text();
  span.peer = this->peer;
  span.outcome = outcome;
  dependencies.spans.Write(span);
}

}  // namespace tamarackwing::gateway
