#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/endpoint.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::http {

//! What went wrong on a connection that this process opened.
enum class ConnectionError {
  kConnectFailed,
  kSendFailed,
  kReadFailed,
  kTimeout,
  kMalformed,
  kCancelled,
};

//! One HTTP/1.1 connection to a server; one request at a time.
//! Thread safety: only from the thread of its io_context.
class Connection {
 public:
  explicit Connection(asio::io_context& context);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  //! Connects. Errors: kConnectFailed, kTimeout, kCancelled.
  asio::awaitable<Expected<void, ConnectionError>> Connect(Endpoint endpoint,
                                                           TimePoint deadline);
  //! Sends a whole request. After an error some bytes may have left.
  asio::awaitable<Expected<void, ConnectionError>> Send(Request request,
                                                        TimePoint deadline);
  //! Reads the head of the answer. Precondition: a request was sent.
  asio::awaitable<Expected<ResponseHead, ConnectionError>> ReadHead(
      TimePoint deadline);
  //! Reads the next piece; an empty one says that the answer is whole.
  //! An answer without a length is whole where the server closes in order.
  asio::awaitable<Expected<std::string, ConnectionError>> ReadPiece(
      TimePoint deadline);
  //! Whether the last answer was whole and another request may follow.
  bool IsReusable() const;
  //! Whether an idle connection is open and nothing has come on it: what a
  //! server sends beyond an answer belongs to no request.
  bool IsQuiet();
  //! How long the server keeps the connection open while it is idle, where the
  //! last answer said so.
  std::optional<std::chrono::seconds> KeptAliveFor() const;
  //! Closes at once; a pending call returns kCancelled.
  void Cancel();

 private:
  struct State;
  std::unique_ptr<State> state;
};

//! Sends a request on a fresh connection and reads the whole answer.
//! Errors: as for the calls of Connection; kMalformed over `body_limit` bytes.
asio::awaitable<Expected<Response, ConnectionError>> Fetch(
    asio::io_context& context,
    Endpoint endpoint,
    Request request,
    TimePoint deadline,
    std::size_t body_limit);

}  // namespace tamarackwing::http
