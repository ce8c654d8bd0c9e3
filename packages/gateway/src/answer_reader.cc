#include "answer_reader.h"

#include <utility>

#include "backend_exchange.h"

namespace tamarackwing::gateway {
namespace {

//! Max time to wait for the connection that replaces one which ended: enough
//! for one retransmission of its first packet.
constexpr std::chrono::milliseconds kCheckTimeout{1'500};

}  // namespace

using http::ConnectionError;

std::string_view AnswerEndName(AnswerEnd end) {
  switch (end) {
    case AnswerEnd::kOpen:
      return "open";
    case AnswerEnd::kWhole:
      return "whole";
    case AnswerEnd::kConnectionFailed:
      return "connection_failed";
    case AnswerEnd::kInsideEvent:
      return "inside_event";
    case AnswerEnd::kNoEvent:
      return "no_event";
    case AnswerEnd::kSenderGone:
      return "sender_gone";
    case AnswerEnd::kTooLarge:
      return "too_large";
  }
  return "unknown";
}

ConnectionCheck::ConnectionCheck(backend_servers::ConnectionPool& pool,
                                 http::Endpoint endpoint,
                                 bool is_leaving)
    : pool(pool), endpoint(std::move(endpoint)), is_leaving(is_leaving) {}

http::asio::awaitable<bool> ConnectionCheck::IsServing() {
  if (this->is_leaving) {
    co_return true;
  }
  co_return co_await this->pool.Replenish(
      this->endpoint, std::chrono::steady_clock::now() + kCheckTimeout);
}

AnswerReader::AnswerReader(http::Connection& connection,
                           EventSplitter* events,
                           SenderCheck& sender)
    : connection(connection), events(events), sender(sender) {}

http::asio::awaitable<Expected<AnswerReader::Piece, ConnectionError>>
AnswerReader::Read(TimePoint deadline) {
  auto bytes = co_await this->connection.ReadPiece(deadline);
  if (!bytes) {
    this->end = AnswerEnd::kConnectionFailed;
    co_return unexpected(bytes.error());
  }
  Piece piece;
  piece.is_end = bytes->empty();
  if (this->events == nullptr) {
    piece.bytes = std::move(*bytes);
  } else {
    piece.bytes = this->events->Add(*bytes);
    this->has_events = this->has_events || !piece.bytes.empty();
    if (this->events->RestBytes() > kMaxEventBytes) {
      this->end = AnswerEnd::kTooLarge;
      co_return unexpected(ConnectionError::kMalformed);
    }
  }
  if (piece.is_end) {
    this->end = co_await this->JudgeEnd();
    if (this->end != AnswerEnd::kWhole) {
      co_return unexpected(ConnectionError::kReadFailed);
    }
  }
  co_return piece;
}

http::asio::awaitable<AnswerEnd> AnswerReader::JudgeEnd() {
  if (this->events != nullptr && !this->events->IsBetweenEvents()) {
    co_return AnswerEnd::kInsideEvent;
  }
  if (this->connection.Framing() != http::BodyFraming::kConnectionEnd) {
    co_return AnswerEnd::kWhole;
  }
  // The connection also ends if its sender crashes.
  if (this->events != nullptr && !this->has_events) {
    co_return AnswerEnd::kNoEvent;
  }
  const bool is_serving = co_await this->sender.IsServing();
  co_return is_serving ? AnswerEnd::kWhole : AnswerEnd::kSenderGone;
}

}  // namespace tamarackwing::gateway
