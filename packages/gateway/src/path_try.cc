//! The part of a path call that sends it once and reads the answer.

#include <algorithm>
#include <charconv>
#include <utility>

#include "path_request.h"
#include "refused_header.h"
#include "tamarackwing/callers/caller_head.h"
#include "tamarackwing/gateway/forward_headers.h"

namespace tamarackwing::gateway {
namespace {

using policy::TryOutcome;
using std::chrono::milliseconds;

constexpr unsigned kServerError = 500;
constexpr unsigned kBadRequest = 400;
//! A request that may run once goes on a connection that was used just now, or
//! on a new one: a server closes idle connections after whole seconds.
constexpr milliseconds kSureIdle{1'000};
//! The least that a silent server is given before a repeatable request is tried
//! elsewhere.
constexpr milliseconds kLeastPatience{600};
//! Events may stop for so many times the route's longest pause.
constexpr int kMaxGaps = 5;
constexpr milliseconds kLeastGap{2'000};

//! The number on the last line `id:` of whole events.
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

}  // namespace

http::Request PathRequest::MakeSend(const Target& target) const {
  SendContext send;
  send.left = this->TimeLeft();
  send.last_event = this->last_event;
  if (target.server) {
    send.server = target.server->name;
    send.workspace = this->grant.workspace;
  }
  http::Request request =
      this->gateway.Dependencies().protocol.EncodeRequest(this->call, send);
  if (target.host) {
    ForwardHeaders headers;
    headers.secret = this->gateway.Settings().cluster_secret;
    headers.workspace = this->grant.workspace;
    headers.key = this->grant.key;
    headers.origin = this->gateway.Settings().host;
    AddForwardHeaders(headers, request.head.headers);
    request.head.headers.Add(callers::kHopHeader,
                             this->gateway.Settings().host.Text());
  }
  return request;
}

TimePoint PathRequest::FirstByteDeadline() const {
  if (!this->IsRepeatable()) {
    return this->deadline;
  }
  const TimePoint now = this->gateway.Dependencies().clock.Now();
  const milliseconds patience =
      std::max(kLeastPatience, this->route->target_latency);
  return std::min(this->deadline, now + patience);
}

http::asio::awaitable<TryOutcome> PathRequest::Try(const Target& target) {
  this->peer =
      target.server ? target.server->name.Text() : target.host->host.Text();
  backend_servers::ConnectionPool& pool = this->gateway.PoolOf(this->executor);
  const milliseconds max_idle =
      this->IsRepeatable() ? backend_servers::kAnyIdle : kSureIdle;
  auto acquired =
      co_await pool.Acquire(target.endpoint, this->deadline, max_idle);
  this->signal = policy::HealthSignal::kNothing;
  if (!acquired && acquired.error() != http::ConnectionError::kCancelled) {
    this->signal = policy::HealthSignal::kUnreachable;
  }
  if (!acquired || this->caller_gone) {
    co_return TryOutcome::kNotSent;
  }
  backend_servers::PooledConnection connection = std::move(*acquired);
  this->current_connection = connection.connection.get();
  http::Request request = this->MakeSend(target);
  const auto sent =
      co_await connection.connection->Send(std::move(request), this->deadline);
  TryOutcome end = TryOutcome::kLost;
  if (sent) {
    end = co_await this->ReadResponse(target, *connection.connection);
  } else {
    end = this->Lose(sent.error());
  }
  if (connection.reused && this->signal == policy::HealthSignal::kBroken) {
    // The server may have closed the connection while it was idle.
    this->signal = policy::HealthSignal::kNothing;
  }
  this->current_connection = nullptr;
  if (end == TryOutcome::kLost) {
    // A server drops what it runs when its connection closes.
    connection.connection->Cancel();
  } else {
    pool.Release(target.endpoint, std::move(connection));
  }
  co_return end;
}

TryOutcome PathRequest::Lose(http::ConnectionError error) {
  switch (error) {
    case http::ConnectionError::kTimeout:
      this->signal = policy::HealthSignal::kSilent;
      break;
    case http::ConnectionError::kCancelled:
      this->signal = policy::HealthSignal::kNothing;
      break;
    case http::ConnectionError::kConnectFailed:
    case http::ConnectionError::kSendFailed:
    case http::ConnectionError::kReadFailed:
    case http::ConnectionError::kMalformed:
      this->signal = policy::HealthSignal::kBroken;
      break;
  }
  return TryOutcome::kLost;
}

http::asio::awaitable<TryOutcome> PathRequest::ReadResponse(
    const Target& target,
    http::Connection& connection) {
  const PathGatewayDependencies& dependencies = this->gateway.Dependencies();
  auto head = co_await connection.ReadHead(this->FirstByteDeadline());
  this->NoteRead(target);
  if (!head) {
    co_return this->Lose(head.error());
  }
  this->signal = policy::HealthSignal::kAnswered;
  if (target.server) {
    dependencies.servers.NoteAlive(target.server->name);
  }
  if (target.host) {
    const auto refused = ReadRefusedHeader(head->headers);
    if (refused) {
      this->retry_after = refused->retry_after;
      co_return refused->ran == Ran::kNo ? TryOutcome::kNotRun
                                         : TryOutcome::kLost;
    }
  }
  PathResponse read = dependencies.protocol.ReadResponse(this->call, *head);
  if (!read.is_for_call && !read.not_run && !read.other_server) {
    // What came belongs to another request, or to none.
    co_return this->Lose(http::ConnectionError::kMalformed);
  }
  if (read.not_run || read.other_server) {
    // Read to its end, so that the connection can serve again. The answer of an
    // earlier server that failed still stands.
    co_await this->ReadWhole(connection, std::move(read.passed));
    co_return TryOutcome::kNotRun;
  }
  if (target.server && this->call.prompt) {
    dependencies.servers.NotePrefixBlocks(target.server->name,
                                          this->call.prompt->prefix_blocks);
  }
  if (read.is_stream && read.passed.status < kBadRequest) {
    co_return co_await this->PassStream(target, connection, read.passed);
  }
  co_return co_await this->KeepWhole(connection, std::move(read.passed));
}

http::asio::awaitable<std::optional<http::Response>> PathRequest::ReadWhole(
    http::Connection& connection,
    http::ResponseHead head) {
  http::Response response;
  response.head = std::move(head);
  while (true) {
    auto piece = co_await connection.ReadPiece(this->deadline);
    const std::size_t max_bytes = this->gateway.Settings().answer_bytes;
    if (!piece) {
      this->Lose(piece.error());
      co_return std::nullopt;
    }
    if (response.body.size() + piece->size() > max_bytes) {
      this->Lose(http::ConnectionError::kMalformed);
      co_return std::nullopt;
    }
    if (piece->empty()) {
      co_return response;
    }
    response.body += *piece;
  }
}

http::asio::awaitable<TryOutcome> PathRequest::KeepWhole(
    http::Connection& connection,
    http::ResponseHead head) {
  auto response = co_await this->ReadWhole(connection, std::move(head));
  // A stream that has begun can't go on with an answer of another kind.
  if (!response || this->writer.HasStarted()) {
    co_return TryOutcome::kLost;
  }
  this->NoteBytes();
  const bool failed = response->head.status >= kServerError;
  this->answer = std::move(response);
  co_return failed ? TryOutcome::kFailed : TryOutcome::kServed;
}

http::asio::awaitable<TryOutcome> PathRequest::PassStream(
    const Target& target,
    http::Connection& connection,
    const http::ResponseHead& head) {
  const milliseconds gap =
      std::max(kLeastGap, kMaxGaps * this->route->target_gap);
  this->events.DropRest();
  while (true) {
    const TimePoint now = this->gateway.Dependencies().clock.Now();
    auto piece =
        co_await connection.ReadPiece(std::min(this->deadline, now + gap));
    if (!piece) {
      co_return this->Lose(piece.error());
    }
    if (target.server) {
      this->gateway.Dependencies().servers.NoteAlive(target.server->name);
    }
    this->NoteBytes();
    const bool is_end = piece->empty();
    const std::string whole =
        is_end ? this->events.TakeRest() : this->events.Add(*piece);
    if (!whole.empty() || is_end) {
      if (!co_await this->WriteEvents(head, whole)) {
        this->caller_gone = true;
        co_return TryOutcome::kLost;
      }
    }
    if (is_end) {
      if (target.server && this->first_byte_at) {
        this->gateway.Dependencies().servers.NoteRun(
            this->service, this->last_byte_at - *this->first_byte_at);
      }
      co_await this->writer.FinishStream();
      co_return TryOutcome::kServed;
    }
  }
}

http::asio::awaitable<bool> PathRequest::WriteEvents(
    const http::ResponseHead& head,
    const std::string& events) {
  // The head waits for the first event: until then another server may answer.
  if (!this->writer.HasStarted()) {
    // An earlier server's failure is no longer the answer.
    this->answer.reset();
    http::ResponseHead passed = head;
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
