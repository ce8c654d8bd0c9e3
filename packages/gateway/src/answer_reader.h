#pragma once

#include <string>
#include <string_view>

#include "event_splitter.h"
#include "tamarackwing/backend_servers/connection_pool.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/connection.h"
#include "tamarackwing/http/endpoint.h"

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
  //! A stream ended with its connection, and before its first event.
  kNoEvent,
  //! The body ended with its connection, and its sender accepts no other.
  kSenderGone,
  //! An event was too large.
  kTooLarge,
};

//! Returns the end's name in logs and metrics. Thread safety: reentrant.
std::string_view AnswerEndName(AnswerEnd end);

//! Interface: tells whether the sender of an answer has survived it.
//! Thread safety: used only from the traffic thread of its request.
class SenderCheck {
 public:
  virtual ~SenderCheck() = default;
  virtual http::asio::awaitable<bool> IsServing() = 0;
};

//! Checks by opening the connection that replaces the one which ended.
class ConnectionCheck final : public SenderCheck {
 public:
  //! Preconditions: `pool` outlives the object. `is_leaving` says that the
  //! sender has announced its shutdown: it may refuse connections while it
  //! completes its answers, so that refusals show nothing.
  ConnectionCheck(backend_servers::ConnectionPool& pool,
                  http::Endpoint endpoint,
                  bool is_leaving);
  http::asio::awaitable<bool> IsServing() override;

 private:
  backend_servers::ConnectionPool& pool;
  http::Endpoint endpoint;
  bool is_leaving;
};

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
  //! is null if the answer is not a stream; all outlive the reader.
  AnswerReader(http::Connection& connection,
               EventSplitter* events,
               SenderCheck& sender);

  //! Reads the next piece. Errors: as for http::Connection::ReadPiece;
  //! kReadFailed if the body ended and is not whole, kMalformed if an event is
  //! too large.
  http::asio::awaitable<Expected<Piece, http::ConnectionError>> Read(
      TimePoint deadline);
  //! Returns how the body ended.
  AnswerEnd End() const { return this->end; }

 private:
  //! Returns whether the body is whole, now that its framing says so.
  http::asio::awaitable<AnswerEnd> JudgeEnd();

  http::Connection& connection;
  EventSplitter* events;
  SenderCheck& sender;
  //! Whether this answer has brought an event.
  bool has_events = false;
  AnswerEnd end = AnswerEnd::kOpen;
};

}  // namespace tamarackwing::gateway
