#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/endpoint.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::http {

//! Error of an outgoing connection.
enum class ConnectionError {
  kConnectFailed,
  kSendFailed,
  kReadFailed,
  kTimeout,
  kMalformed,
  //! The response's status is not one of HTTP.
  kInvalidStatus,
  kCancelled,
};

//! How the end of a response's body is marked: by a declared length, which may
//! be zero, by chunks, or only by the end of the connection.
enum class BodyFraming { kLength, kChunked, kConnectionEnd };

//! Returns the framing's name in logs and metrics. Thread safety: reentrant.
std::string_view BodyFramingName(BodyFraming framing);

//! HTTP/1.1 client connection that carries one request at a time.
//! Thread safety: only the thread of its io_context may use it.
class Connection {
 public:
  explicit Connection(asio::io_context& context);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  //! Connects to `endpoint`. Errors: kConnectFailed, kTimeout, kCancelled.
  asio::awaitable<Expected<void, ConnectionError>> Connect(Endpoint endpoint,
                                                           TimePoint deadline);
  //! Sends a complete request. On an error, part of the request may have been
  //! sent. Errors: kSendFailed, kTimeout, kCancelled.
  asio::awaitable<Expected<void, ConnectionError>> Send(Request request,
                                                        TimePoint deadline);
  //! Reads the head of the response. Precondition: a request was sent.
  //! Errors: kReadFailed, kMalformed, kInvalidStatus if the status is outside
  //! 100 to 599, kTimeout, kCancelled.
  asio::awaitable<Expected<ResponseHead, ConnectionError>> ReadHead(
      TimePoint deadline);
  //! Reads the next piece of the body; an empty piece means that the response
  //! is complete. A response without a declared length is complete when the
  //! server ends the connection cleanly and has received the whole request:
  //! after an early response, waits until it has. Precondition: the head was
  //! read. Errors: kReadFailed, kMalformed, kTimeout, kCancelled.
  asio::awaitable<Expected<std::string, ConnectionError>> ReadPiece(
      TimePoint deadline);
  //! Makes pending calls end with kTimeout if the peer's kernel acknowledges
  //! nothing for about three seconds, however long their deadline is. A peer
  //! that only takes long to respond is not given up. Precondition: connected.
  void StartProbing();
  //! Returns how the body of the response is framed. Precondition: the head was
  //! read.
  BodyFraming Framing() const;
  //! Returns whether the last response was read completely and the connection
  //! can carry another request.
  bool IsReusable() const;
  //! Returns whether an idle connection is open and has no unread input. Bytes
  //! that arrive after a complete response belong to no request, so such a
  //! connection must not be reused.
  bool IsOpenAndIdle();
  //! Returns whether the peer has closed the connection and all that it sent
  //! has been read.
  bool IsClosedByPeer();
  //! Returns how long the server keeps an idle connection open, if the
  //! `Keep-Alive` header of the last response declares it.
  std::optional<std::chrono::seconds> KeepAliveTimeout() const;
  //! Closes the connection immediately; a pending call returns kCancelled.
  void Cancel();

 private:
  struct State;
  //! Waits until the peer has received the whole request. Errors: kReadFailed
  //! if the connection was lost before that, kTimeout, kCancelled.
  asio::awaitable<Expected<void, ConnectionError>> AwaitReceipt(
      TimePoint deadline);

  std::unique_ptr<State> state;
};

//! Sends a request on a new connection and reads the complete response.
//! Errors: as for the methods of Connection; kMalformed if the body is longer
//! than `body_limit` bytes.
asio::awaitable<Expected<Response, ConnectionError>> Fetch(
    asio::io_context& context,
    Endpoint endpoint,
    Request request,
    TimePoint deadline,
    std::size_t body_limit);

}  // namespace tamarackwing::http
