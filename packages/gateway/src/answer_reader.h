#pragma once

#include <string>
#include <string_view>

#include "event_splitter.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/connection.h"

namespace tamarackwing::gateway {

//! How the body of an answer ended.
enum class AnswerEnd {
  //! It has not ended, or the answer has no body that was read.
  kOpen,
  kWhole,
  //! The connection failed or timed out, or was cancelled, before the end that
  //! the answer's framing declares.
  kConnectionFailed,
  //! A stream ended inside an event.
  kInsideEvent,
  //! An event was too large.
  kTooLarge,
};

//! Returns the end's name in logs and metrics. Thread safety: reentrant.
std::string_view AnswerEndName(AnswerEnd end);

//! Reads the body of one answer of a server or another host, and decides
//! whether it arrived whole. Not thread-safe.
class AnswerReader {
 public:
  struct Piece {
    //! Bytes of the body; of a stream, complete events.
    std::string bytes;
    //! Whether the body has ended, and is whole.
    bool is_end = false;
  };

  //! Preconditions: the head of the answer was read from `connection`; `events`
  //! is null if the answer is not a stream; both outlive the reader.
  AnswerReader(http::Connection& connection, EventSplitter* events);

  //! Reads the next piece. Errors: as for http::Connection::ReadPiece;
  //! kReadFailed if the body ended and is not whole, kMalformed if an event is
  //! too large.
  http::asio::awaitable<Expected<Piece, http::ConnectionError>> Read(
      TimePoint deadline);
  //! Returns how the body ended.
  AnswerEnd End() const { return this->end; }

 private:
  AnswerEnd JudgeEnd() const;

  http::Connection& connection;
  EventSplitter* events;
  AnswerEnd end = AnswerEnd::kOpen;
};

}  // namespace tamarackwing::gateway
