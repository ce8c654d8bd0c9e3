//! Implements how ServedRequest relays and resumes a stream of events.

#include <algorithm>
#include <utility>

#include "answer_reader.h"
#include "backend_exchange.h"
#include "served_request.h"
#include "tamarackwing/callers/caller_head.h"
#include "tamarackwing/http/response_writer.h"

namespace tamarackwing::gateway {
namespace {

constexpr int kMaxResumes = 2;
constexpr unsigned kBadRequest = 400;

}  // namespace

http::asio::awaitable<ServedRequest::TryOutcome> ServedRequest::RelayStream(
    const policy::ServerChoice& choice,
    http::Connection& connection,
    http::ResponseHead head) {
  const std::string stream_id(head.headers.Find("X-Stream-Id").value_or(""));
  this->used_tokens = this->call ? this->call->prompt_tokens : kServiceTokens;
  if (!co_await this->writer.StartStream(RelayedHead(head))) {
    this->caller_gone = true;
    connection.Cancel();
    co_return TryOutcome{};
  }
  std::unique_ptr<http::Connection> resumed;
  http::Connection* source = &connection;
  for (int resumes = 0;; ++resumes) {
    bool gone = false;
    const bool finished =
        co_await this->RelayEvents(EndpointOf(choice), *source, gone);
    if (gone) {
      this->caller_gone = true;
      source->Cancel();
      co_return TryOutcome{};
    }
    if (finished) {
      co_await this->writer.FinishStream();
      co_return TryOutcome{};
    }
    source->Cancel();
    const bool may_resume = !this->cancelled && !this->caller_gone &&
                            this->TimeLeft().count() > 0 &&
                            !stream_id.empty() && resumes < kMaxResumes;
    if (!may_resume) {
      break;
    }
    this->events.DropRest();
    resumed = co_await this->ResumeStream(choice, stream_id);
    if (!resumed) {
      break;
    }
    source = resumed.get();
    this->current_connection = source;
  }
  const RefusalCode reason = this->cancelled.value_or(
      this->TimeLeft().count() > 0 ? RefusalCode::kBackendServerFailed
                                   : RefusalCode::kDeadlinePassed);
  co_return TryOutcome{TryResult::kDone, RefuseOutcomeUnknown(reason)};
}

http::asio::awaitable<bool> ServedRequest::RelayEvents(
    http::Endpoint endpoint,
    http::Connection& connection,
    bool& gone) {
  const auto silence = this->gateway.Settings().stream_silence;
  ConnectionCheck sender(this->gateway.PoolOf(this->executor),
                         std::move(endpoint), this->IsLeaving());
  AnswerReader reader(connection, &this->events, sender);
  while (true) {
    const TimePoint until = std::min(
        this->deadline, this->gateway.Dependencies().clock.Now() + silence);
    auto piece = co_await reader.Read(until);
    if (!piece) {
      co_return false;
    }
    if (!piece->bytes.empty() &&
        !co_await this->writer.WritePiece(piece->bytes)) {
      gone = true;
      co_return false;
    }
    if (this->call) {
      const auto sent = static_cast<TokenCount>(this->events.Events());
      this->used_tokens =
          this->call->prompt_tokens + std::min(sent, this->call->output_tokens);
    }
    if (piece->is_end) {
      co_return true;
    }
  }
}

http::asio::awaitable<std::unique_ptr<http::Connection>>
ServedRequest::ResumeStream(const policy::ServerChoice& choice,
                            const std::string& stream_id) {
  const http::Endpoint endpoint = EndpointOf(choice);
  backend_servers::ConnectionPool& pool = this->gateway.PoolOf(this->executor);
  auto acquired =
      co_await pool.Acquire(endpoint, this->deadline, backend_servers::kFresh);
  if (!acquired) {
    co_return nullptr;
  }
  std::unique_ptr<http::Connection> connection =
      std::move(acquired->connection);
  http::Request resume;
  resume.head.method = "GET";
  resume.head.target = "/v1/streams/" + stream_id +
                       "?offset=" + std::to_string(this->events.Events());
  resume.head.headers.Add("Host", Authority(endpoint));
  resume.head.headers.Add(callers::kHopHeader,
                          this->gateway.Settings().host.Text());
  const auto sent =
      co_await connection->Send(std::move(resume), this->deadline);
  if (!sent) {
    co_return nullptr;
  }
  const auto silence = this->gateway.Settings().stream_silence;
  const TimePoint until = std::min(
      this->deadline, this->gateway.Dependencies().clock.Now() + silence);
  const auto head = co_await connection->ReadHead(until);
  if (!head || head->status >= kBadRequest) {
    co_return nullptr;
  }
  this->gateway.Dependencies().metrics.Count(
      "tamarackwing_streams_resumed_total");
  co_return connection;
}

}  // namespace tamarackwing::gateway
