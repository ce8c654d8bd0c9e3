//! Implements how PathRequest sends one try and reads the response.

#include <algorithm>
#include <charconv>
#include <utility>

#include "backend_exchange.h"
#include "path_request.h"
#include "refused_header.h"
#include "tamarackwing/base/digest.h"
#include "tamarackwing/callers/caller_head.h"
#include "tamarackwing/gateway/block_quarantine.h"
#include "tamarackwing/gateway/forward_headers.h"

namespace tamarackwing::gateway {
namespace {

using policy::TryOutcome;
using std::chrono::milliseconds;

constexpr unsigned kServerError = 500;
constexpr unsigned kBadRequest = 400;
//! Maximum idle time of a reused connection for a request that must not run
//! twice. Servers' idle timeouts are whole seconds, so a connection that was
//! used more recently is not about to be closed.
constexpr milliseconds kSingleRunMaxIdle{1'000};
//! Minimum time to wait for a first byte before a repeatable request is tried
//! on another server.
constexpr milliseconds kMinFirstByteTimeout{600};
//! A try of a stream that may be tried again is abandoned if nothing arrives
//! for this multiple of the route's target gap, but for at least
//! kMinGapTimeout.
constexpr int kGapMultiple = 5;
constexpr milliseconds kMinGapTimeout{2'000};

//! Max time to open a connection to a server while this host's links to the
//! servers are down.
constexpr milliseconds kDownConnectTimeout{300};

//! A server that has too many connections resets a new one within this time.
constexpr milliseconds kRejectionTime{500};

//! A server that has streamed an answer for this long does not crash because
//! it began to write it.
constexpr milliseconds kSoundAnswer{1'000};

//! Priorities of routes that are told apart within one priority of a workspace.
constexpr std::uint32_t kRouteLevels = 3;
//! Max events that are assumed in one piece of a stream, whatever their ids.
constexpr std::uint64_t kMaxPieceEvents = 64;

//! Returns the number in the last `id:` line of complete events.
std::optional<std::uint64_t> LastEventId(std::string_view events) {
  constexpr std::string_view kField = "id:";
  std::size_t line = events.size();
  while (line > 0) {
    const std::size_t break_before = events.rfind('\n', line - 1);
    const std::size_t start =
        break_before == std::string_view::npos ? 0 : break_before + 1;
    std::string_view text = events.substr(start, line - start);
    if (text.starts_with(kField)) {
      text.remove_prefix(kField.size());
      while (text.starts_with(' ')) {
        text.remove_prefix(1);
      }
      std::uint64_t id = 0;
      const auto read =
          std::from_chars(text.data(), text.data() + text.size(), id);
      if (read.ec == std::errc()) {
        return id;
      }
    }
    if (break_before == std::string_view::npos) {
      break;
    }
    line = break_before;
  }
  return std::nullopt;
}

//! Returns the time since a time of the connection pool, whose clock is not
//! that of the server directory.
Duration AgeOf(TimePoint pool_time) {
  return std::chrono::steady_clock::now() - pool_time;
}

//! Returns whether a response answers the call that it came for. Rejections may
//! name no call.
bool IsOwnAnswer(const PathResponse& response) {
  switch (response.answered) {
    case AnsweredCall::kThis:
      return true;
    case AnsweredCall::kOther:
      return false;
    case AnsweredCall::kNone:
      return response.not_run || response.other_server;
  }
  return false;
}

}  // namespace

http::Request PathRequest::MakeRequest(const Target& target) const {
  SendContext context;
  context.left = this->TimeLeft();
  context.last_event = this->last_event;
  if (target.server) {
    context.server = target.server->name;
    context.workspace = this->grant.workspace;
    context.urgency = this->Urgency();
  }
  http::Request request =
      this->gateway.Dependencies().protocol.EncodeRequest(this->call, context);
  if (target.host) {
    ForwardHeaders headers;
    headers.secret = this->gateway.Settings().cluster_secret;
    headers.workspace = this->grant.workspace;
    headers.key = this->grant.key;
    headers.origin = this->gateway.Settings().host;
    if (this->has_begun) {
      headers.stream = this->origin;
    }
    AddForwardHeaders(headers, request.head.headers);
    request.head.headers.Add(callers::kHopHeader,
                             this->gateway.Settings().host.Text());
  }
  return request;
}

std::optional<std::uint32_t> PathRequest::Urgency() const {
  if (!this->gateway.Settings().scheduling.pass_urgency ||
      this->route->kind != state::PathKind::kStream) {
    return std::nullopt;
  }
  const auto workspace =
      this->snapshot->set->workspaces.find(this->grant.workspace);
  const std::uint32_t route = std::min(this->route->priority, kRouteLevels - 1);
  const bool is_known = workspace != this->snapshot->set->workspaces.end();
  // The workspace's priority comes first; routes rank requests of equal ones.
  return is_known && workspace->second.priority
             ? *workspace->second.priority * kRouteLevels + route
             : route;
}

TimePoint PathRequest::FirstByteDeadline() const {
  if (!this->plan->MayFollowLoss()) {
    return this->deadline;
  }
  const TimePoint now = this->gateway.Dependencies().clock.Now();
  Duration first_byte_timeout =
      std::max(kMinFirstByteTimeout, this->route->target_latency);
  if (this->gateway.Settings().scheduling.fit_deadlines) {
    // A loaded server is not an unresponsive one.
    first_byte_timeout += this->expected_first_byte;
  }
  return std::min(this->deadline, now + first_byte_timeout);
}

http::asio::awaitable<TryOutcome> PathRequest::Try(const Target& target) {
  this->peer =
      target.server ? target.server->name.Text() : target.host->host.Text();
  this->software = target.server ? target.server->software : "";
  this->try_started = this->gateway.Dependencies().clock.Now();
  backend_servers::ConnectionPool& pool = this->gateway.PoolOf(this->executor);
  const milliseconds max_idle =
      this->IsRepeatable() ? backend_servers::kAnyIdle : kSingleRunMaxIdle;
  TimePoint connect_deadline = this->deadline;
  if (target.server && this->gateway.Dependencies().servers.LinksAreDown()) {
    // A new connection is not expected to open.
    connect_deadline =
        std::min(connect_deadline, this->try_started + kDownConnectTimeout);
  }
  auto acquired = co_await pool.Acquire(target.endpoint, connect_deadline,
                                        max_idle, this->IsRepeatable());
  this->answer_stage = AnswerStage::kNone;
  this->answer_end = AnswerEnd::kOpen;
  this->connection_broke = false;
  this->has_invalid_status = false;
  this->is_sound = false;
  this->signal = policy::HealthSignal::kInconclusive;
  ServerDirectory& servers = this->gateway.Dependencies().servers;
  if (!acquired && acquired.error() != http::ConnectionError::kCancelled) {
    this->signal = policy::HealthSignal::kUnreachable;
    if (target.server &&
        acquired.error() == http::ConnectionError::kConnectFailed) {
      servers.NoteRefusedConnection(*target.server);
    }
  }
  if (!acquired || this->caller_gone) {
    co_return TryOutcome::kNotSent;
  }
  backend_servers::PooledConnection connection = std::move(*acquired);
  this->connection_opened = servers.Now() - AgeOf(connection.opened);
  if (target.server && connection.lost_idle) {
    servers.NoteLostConnection(*target.server,
                               servers.Now() - AgeOf(*connection.lost_idle));
  }
  if (target.server && !connection.reused) {
    this->gateway.Dependencies().servers.NoteConnected();
    connection.connection->StartProbing();
  }
  if (target.server &&
      !this->gateway.Dependencies().servers.MaySendTo(*target.server)) {
    // It has said that it wants none, or may have become cold, while the
    // connection opened.
    pool.Release(target.endpoint, std::move(connection));
    co_return TryOutcome::kNotSent;
  }
  this->current_connection = connection.connection.get();
  http::Request request = this->MakeRequest(target);
  const auto sent =
      co_await connection.connection->Send(std::move(request), this->deadline);
  TryOutcome try_outcome = TryOutcome::kLost;
  if (sent) {
    try_outcome = co_await this->ReadResponse(target, connection);
  } else {
    try_outcome = this->HandleConnectionError(sent.error());
  }
  const Duration held =
      this->gateway.Dependencies().clock.Now() - this->try_started;
  const bool should_stay_open = this->answer_stage != AnswerStage::kNone ||
                                held >= kRejectionTime ||
                                (connection.reused && connection.is_kept_open);
  if (target.server && this->connection_broke && should_stay_open) {
    servers.NoteLostConnection(*target.server, this->connection_opened);
  }
  if (connection.reused && this->signal == policy::HealthSignal::kBroken &&
      !this->has_invalid_status) {
    // The server may have closed the connection while it was idle, so this says
    // nothing about its health.
    this->signal = policy::HealthSignal::kInconclusive;
  }
  this->current_connection = nullptr;
  if (try_outcome == TryOutcome::kLost) {
    // A server cancels a request when its connection closes.
    connection.connection->Cancel();
  } else {
    pool.Release(target.endpoint, std::move(connection));
  }
  co_return try_outcome;
}

TryOutcome PathRequest::HandleConnectionError(http::ConnectionError error) {
  switch (error) {
    case http::ConnectionError::kTimeout:
      this->signal = policy::HealthSignal::kSilent;
      break;
    case http::ConnectionError::kCancelled:
      this->signal = policy::HealthSignal::kInconclusive;
      break;
    case http::ConnectionError::kSendFailed:
    case http::ConnectionError::kReadFailed:
      this->connection_broke = true;
      this->signal = policy::HealthSignal::kBroken;
      break;
    case http::ConnectionError::kInvalidStatus:
      this->has_invalid_status = true;
      this->signal = policy::HealthSignal::kBroken;
      break;
    case http::ConnectionError::kConnectFailed:
    case http::ConnectionError::kMalformed:
      this->signal = policy::HealthSignal::kBroken;
      break;
  }
  return TryOutcome::kLost;
}

http::asio::awaitable<TryOutcome> PathRequest::ReadResponse(
    const Target& target,
    backend_servers::PooledConnection& pooled) {
  const PathGatewayDependencies& dependencies = this->gateway.Dependencies();
  http::Connection& connection = *pooled.connection;
  auto head = co_await connection.ReadHead(this->FirstByteDeadline());
  if (!head) {
    co_return this->HandleConnectionError(head.error());
  }
  const auto refused = target.host
                           ? ReadRefusedHeader(head->headers, this->call.id)
                           : std::nullopt;
  PathResponse parsed = dependencies.protocol.ReadResponse(this->call, *head);
  const bool is_own = refused ? refused->is_for_call : IsOwnAnswer(parsed);
  if (!is_own) {
    // The response belongs to another call or to none, so nothing else that it
    // says is read. The answer to this call may still come, so the connection
    // is not used again.
    dependencies.metrics.Count("tamarackwing_foreign_answers_total");
    co_return this->HandleConnectionError(http::ConnectionError::kMalformed);
  }
  pooled.had_unnamed_answer =
      pooled.had_unnamed_answer || parsed.answered == AnsweredCall::kNone;
  this->NotePrefillDone(target);
  this->answer_stage = AnswerStage::kHead;
  this->signal = policy::HealthSignal::kAnswered;
  if (target.server) {
    this->NoteAlive(target.server->name);
  }
  if (refused) {
    this->retry_after = refused->retry_after;
    if (refused->ran != Ran::kNo) {
      co_return TryOutcome::kLost;
    }
    co_return refused->was_sent ? TryOutcome::kNotRun : TryOutcome::kNotSent;
  }
  if (target.host) {
    this->forwarded_origin = ReadStreamOrigin(head->headers);
  }
  parsed.passed.headers = WithoutStreamOrigin(parsed.passed.headers);
  if (target.server && !parsed.other_server) {
    this->NoteStatement(*target.server, parsed.statement);
  }
  if (parsed.not_run || parsed.other_server) {
    // Read the body to its end, so that the connection can be reused. The
    // body is discarded: `held_response` keeps the response of an earlier
    // server that failed, if there was one.
    co_await this->ReadFullResponse(target, connection,
                                    std::move(parsed.passed));
    co_return TryOutcome::kNotRun;
  }
  if (target.server && this->call.prompt) {
    dependencies.servers.NotePrefixBlocks(target.server->name,
                                          this->call.prompt->prefix_blocks);
  }
  if (parsed.is_stream && parsed.passed.status < kBadRequest) {
    co_return co_await this->RelayStream(target, connection, parsed.passed);
  }
  co_return co_await this->BufferResponse(target, connection,
                                          std::move(parsed.passed));
}

void PathRequest::NoteStatement(const policy::ServerChoice& server,
                                const policy::ServerStatement& statement) {
  const PathGatewayDependencies& dependencies = this->gateway.Dependencies();
  if (statement.acceptance == policy::Acceptance::kRejected) {
    dependencies.metrics.Count("tamarackwing_server_rejections_total");
  }
  if (statement.pause) {
    dependencies.metrics.Count("tamarackwing_server_pauses_total");
  }
  if (statement.unreadable > 0) {
    dependencies.metrics.Count("tamarackwing_server_unreadable_fields_total");
  }
  dependencies.servers.NoteStatement(server, statement, this->call.id);
}

http::asio::awaitable<std::optional<http::Response>>
PathRequest::ReadFullResponse(const Target& target,
                              http::Connection& connection,
                              http::ResponseHead head) {
  http::Response response;
  response.head = std::move(head);
  ConnectionCheck sender = this->CheckOf(target);
  AnswerReader reader(connection, nullptr, sender);
  while (true) {
    auto piece = co_await reader.Read(this->deadline);
    const std::size_t max_bytes = this->gateway.Settings().answer_bytes;
    this->NoteEnd(connection, reader.End());
    if (!piece) {
      this->HandleConnectionError(piece.error());
      co_return std::nullopt;
    }
    if (response.body.size() + piece->bytes.size() > max_bytes) {
      this->HandleConnectionError(http::ConnectionError::kMalformed);
      co_return std::nullopt;
    }
    if (piece->is_end) {
      co_return response;
    }
    response.body += piece->bytes;
  }
}

void PathRequest::NoteEnd(const http::Connection& connection, AnswerEnd end) {
  if (end == AnswerEnd::kOpen) {
    return;
  }
  this->answer_end = end;
  this->answer_framing = connection.Framing();
  this->gateway.Dependencies().metrics.Count(
      "tamarackwing_answers_total{framing=\"" +
      std::string(http::BodyFramingName(this->answer_framing)) + "\",end=\"" +
      std::string(AnswerEndName(end)) + "\"}");
}

ConnectionCheck PathRequest::CheckOf(const Target& target) {
  const bool is_leaving =
      target.server &&
      this->gateway.Dependencies().servers.IsLeaving(target.server->name);
  return {this->gateway.PoolOf(this->executor), target.endpoint, is_leaving};
}

http::asio::awaitable<TryOutcome> PathRequest::BufferResponse(
    const Target& target,
    http::Connection& connection,
    http::ResponseHead head) {
  auto response =
      co_await this->ReadFullResponse(target, connection, std::move(head));
  // A stream that has started can't be continued by a response without events.
  if (!response || this->writer.HasStarted()) {
    co_return TryOutcome::kLost;
  }
  this->NoteBytes();
  const bool failed = response->head.status >= kServerError;
  this->held_response = std::move(response);
  co_return failed ? TryOutcome::kFailed : TryOutcome::kServed;
}

http::asio::awaitable<TryOutcome> PathRequest::RelayStream(
    const Target& target,
    http::Connection& connection,
    const http::ResponseHead& head) {
  const milliseconds gap_timeout =
      std::max(kMinGapTimeout, kGapMultiple * this->route->target_gap);
  this->events.DropRest();
  const TimePoint body_started = this->gateway.Dependencies().clock.Now();
  ConnectionCheck sender = this->CheckOf(target);
  AnswerReader reader(connection, &this->events, sender);
  std::optional<TimePoint> first_output;
  while (true) {
    const TimePoint now = this->gateway.Dependencies().clock.Now();
    const TimePoint give_up = this->plan->MayFollowLoss()
                                  ? std::min(this->deadline, now + gap_timeout)
                                  : this->deadline;
    const std::optional<std::uint64_t> event_before = this->last_event;
    auto piece = co_await reader.Read(give_up);
    this->NoteEnd(connection, reader.End());
    if (!piece) {
      co_return this->HandleConnectionError(piece.error());
    }
    if (target.server) {
      this->NoteAlive(target.server->name);
      if (first_output) {
        this->NotePause(target, piece->bytes, event_before, now);
      }
    }
    this->NoteBytes();
    if (!first_output) {
      first_output = this->last_byte_at;
      this->NoteFirstDelay(target);
    }
    this->NoteLongAnswer(target, body_started);
    this->answer_stage = AnswerStage::kBody;
    if (!piece->bytes.empty() || piece->is_end) {
      if (!co_await this->WriteEvents(target, head, piece->bytes)) {
        this->NoteWritten(false);
        this->caller_gone = true;
        co_return TryOutcome::kLost;
      }
    }
    if (piece->is_end) {
      if (target.server && this->first_byte_at) {
        this->gateway.Dependencies().servers.NoteRun(
            this->service, this->last_byte_at - *this->first_byte_at);
      }
      this->NoteServed(target, *first_output);
      const bool finished = co_await this->writer.FinishStream();
      this->NoteWritten(finished);
      co_return TryOutcome::kServed;
    }
  }
}

void PathRequest::NoteAlive(const BackendServerName& server) {
  this->gateway.Dependencies().servers.NoteAlive(server,
                                                 this->connection_opened);
  this->gateway.Dependencies().quarantine.NoteAlive(server);
}

void PathRequest::NoteFirstDelay(const Target& target) {
  if (target.server && this->call.prompt &&
      this->gateway.Settings().scheduling.share_loads) {
    this->gateway.Dependencies().servers.NoteFirstDelay(
        this->service, *target.server, this->last_byte_at - this->try_started);
  }
}

void PathRequest::NotePause(const Target& target,
                            std::string_view events,
                            std::optional<std::uint64_t> event_before,
                            TimePoint waited_since) {
  const bool shares_loads = this->gateway.Settings().scheduling.share_loads;
  if (!shares_loads || events.empty()) {
    return;
  }
  const TimePoint now = this->gateway.Dependencies().clock.Now();
  // While a slow caller keeps this host from reading, events pile up and say
  // nothing about the server.
  if (waited_since - this->last_byte_at > now - waited_since) {
    return;
  }
  const auto event = LastEventId(events);
  const bool is_counted = event && event_before && *event > *event_before;
  const std::uint64_t count =
      is_counted ? std::min(*event - *event_before, kMaxPieceEvents) : 1;
  this->gateway.Dependencies().servers.NotePauses(
      target.server->name, static_cast<std::uint32_t>(count),
      now - this->last_byte_at);
}

void PathRequest::NoteLongAnswer(const Target& target, TimePoint started) {
  const bool is_long = this->last_byte_at - started >= kSoundAnswer;
  if (target.server && is_long && !this->is_sound) {
    this->is_sound = true;
    this->gateway.Dependencies().quarantine.NoteAnswered(this->held);
  }
}

http::asio::awaitable<bool> PathRequest::WriteEvents(
    const Target& target,
    const http::ResponseHead& head,
    const std::string& events) {
  if (!events.empty()) {
    this->NoteEvents(target);
  }
  // The head is sent with the first event: until then another server may be
  // tried.
  if (!this->writer.HasStarted()) {
    // Drop the error response of an earlier server.
    this->held_response.reset();
    http::ResponseHead passed = head;
    if (this->forwarded && target.server) {
      AddStreamOrigin(
          {Sha256Prefix(this->service), target.server->software_digest,
           this->gateway.Settings().region},
          passed.headers);
    }
    const bool started = co_await this->writer.StartStream(std::move(passed));
    if (!started) {
      co_return false;
    }
  }
  if (events.empty()) {
    co_return true;
  }
  if (!co_await this->writer.WritePiece(events)) {
    co_return false;
  }
  const auto id = LastEventId(events);
  if (id) {
    this->last_event = id;
  }
  co_return true;
}

}  // namespace tamarackwing::gateway
