#pragma once

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "tamarackwing/http/handler.h"
#include "tamarackwing/http/response_writer.h"
#include "tamarackwing/http/server.h"

namespace tamarackwing::http {

//! State that the connections of one listener share.
struct SessionContext {
  Handler& handler;
  ServerLimits limits;
  //! The listener no longer accepts connections.
  std::atomic<bool> stopping{false};
  //! New connections are accepted, but each connection closes after its next
  //! response.
  std::atomic<bool> closing{false};
  //! Number of open connections.
  std::atomic<std::size_t> open{0};
};

//! Server side of one connection, from accept to close.
//! Thread safety: only the thread of its socket's executor may use it.
class Session final : public ResponseWriter,
                      public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket,
          std::shared_ptr<SessionContext> context);
  ~Session() override;

  //! Reads and serves requests until the connection closes.
  asio::awaitable<void> Run();

  asio::awaitable<bool> Send(Response response) override;
  asio::awaitable<bool> StartStream(ResponseHead head) override;
  asio::awaitable<bool> WritePiece(std::string_view piece) override;
  asio::awaitable<bool> FinishStream() override;
  void Abort() override;
  bool HasStarted() const override { return this->started; }
  void OnPeerGone(std::function<void()> callback) override;
  bool IsPeerGone() override;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using StreamResponse =
      boost::beast::http::response<boost::beast::http::buffer_body>;
  using StreamSerializer =
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>;

  //! Reads and serves one request. Returns whether the connection stays open
  //! for another one.
  asio::awaitable<bool> ServeOne();
  //! Waits for the first byte of a request. Returns false if the connection
  //! closes or the idle timeout ends first.
  asio::awaitable<bool> AwaitRequest();
  //! Runs `read`, which reads a head or a body, for at most `max_time`. Returns
  //! whether it succeeded. If the time is up or the request is invalid, sends
  //! the handler's response to that fault.
  template <typename Read>
  asio::awaitable<bool> ReadWithin(std::chrono::milliseconds max_time,
                                   Read read);
  asio::awaitable<bool> ReadBody(Parser& parser);
  asio::awaitable<bool> Refuse(Response response);
  void WatchPeer();
  void ReportPeerGone();
  bool KeepsAlive() const;
  void Reset(bool keep_alive);

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::shared_ptr<SessionContext> context;
  //! Limits of the current request.
  ServerLimits limits;
  //! Cancels a read that takes too long. The timeout of `stream` would close
  //! the connection, and the timeout response could not be sent any more.
  asio::steady_timer read_timer;
  //! Identifies the current read, so that a timer started for an earlier read
  //! does not cancel it.
  std::uint64_t read_generation = 0;
  bool read_timed_out = false;
  std::unique_ptr<StreamResponse> stream_response;
  std::unique_ptr<StreamSerializer> serializer;
  std::function<void()> peer_gone;
  //! The handler is serving a request.
  bool serving = false;
  //! A wait for input, which detects that the peer has disconnected, is
  //! pending.
  bool watching = false;
  //! The current request allows the connection to stay open.
  bool keep_alive = false;
  //! The peer understands chunked responses.
  bool knows_chunks = true;
  //! Sending a response has begun.
  bool started = false;
  //! A complete response has been written.
  bool finished = false;
};

}  // namespace tamarackwing::http
