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

//! What the connections of one listener share.
struct SessionContext {
  Handler& handler;
  ServerLimits limits;
  std::atomic<bool> stopping{false};
  //! Connections close after their next answer.
  std::atomic<bool> closing{false};
  std::atomic<std::size_t> open{0};
};

//! One connection of a listener, from accept to close.
class Session final : public ResponseWriter,
                      public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket,
          std::shared_ptr<SessionContext> context);
  ~Session() override;

  //! Reads and serves requests until the connection ends.
  asio::awaitable<void> Run();

  asio::awaitable<bool> Send(Response response) override;
  asio::awaitable<bool> StartStream(ResponseHead head) override;
  asio::awaitable<bool> WritePiece(std::string_view piece) override;
  asio::awaitable<bool> FinishStream() override;
  void Abort() override;
  bool HasStarted() const override { return this->started; }
  void OnPeerGone(std::function<void()> callback) override;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using StreamResponse =
      boost::beast::http::response<boost::beast::http::buffer_body>;
  using StreamSerializer =
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>;

  asio::awaitable<bool> ServeOne();
  //! Waits until a request begins; false where none does.
  asio::awaitable<bool> AwaitRequest();
  //! Reads a head or a body with `read`, at most for `max_time`. Whoever is
  //! slower is told so. Returns whether all has been read.
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
  //! The bounds of the request under way.
  ServerLimits limits;
  //! Ends a read that takes too long, and leaves the connection open for the
  //! answer that says so.
  asio::steady_timer read_timer;
  //! Tells the read that a timer was set for from later ones.
  std::uint64_t reads = 0;
  bool read_is_late = false;
  std::unique_ptr<StreamResponse> stream_response;
  std::unique_ptr<StreamSerializer> serializer;
  std::function<void()> peer_gone;
  bool serving = false;
  bool watching = false;
  bool keep_alive = false;
  bool started = false;
  bool finished = false;
};

}  // namespace tamarackwing::http
