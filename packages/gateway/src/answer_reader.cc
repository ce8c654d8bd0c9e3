#include "answer_reader.h"

#include <utility>

#include "backend_exchange.h"

namespace tamarackwing::gateway {

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
    case AnswerEnd::kTooLarge:
      return "too_large";
  }
  return "unknown";
}

AnswerReader::AnswerReader(http::Connection& connection, EventSplitter* events)
    : connection(connection), events(events) {}

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
    if (this->events->RestBytes() > kMaxEventBytes) {
      this->end = AnswerEnd::kTooLarge;
      co_return unexpected(ConnectionError::kMalformed);
    }
  }
  if (piece.is_end) {
    this->end = this->JudgeEnd();
    if (this->end != AnswerEnd::kWhole) {
      co_return unexpected(ConnectionError::kReadFailed);
    }
  }
  co_return piece;
}

AnswerEnd AnswerReader::JudgeEnd() const {
  const bool is_inside_event =
      this->events != nullptr && !this->events->IsBetweenEvents();
  return is_inside_event ? AnswerEnd::kInsideEvent : AnswerEnd::kWhole;
}

}  // namespace tamarackwing::gateway
