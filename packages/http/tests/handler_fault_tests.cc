//! Tests of a handler that fails in a way that it does not handle itself.

#include <gtest/gtest.h>

#include <stdexcept>

#include "tamarackwing/http/io_threads.h"
#include "tamarackwing/http/server.h"
#include "tamarackwing/http/whole_request_handler.h"

namespace tamarackwing::http {
namespace {

//! Throws for one target and answers all others.
class FaultyHandler final : public WholeRequestHandler {
 public:
  std::optional<Response> CheckHead(const RequestHead&) override {
    return std::nullopt;
  }
  asio::awaitable<void> Handle(Request request,
                               ResponseWriter& writer) override {
    if (request.head.target == "/faulty") {
      throw std::runtime_error("not an object");
    }
    Response response;
    response.head.status = 200;
    co_await writer.Send(std::move(response));
  }
  Response RejectFault(RequestFault) override { return {}; }
};

std::string Fetch(std::uint16_t port, const std::string& target) {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::address_v4::loopback(), port});
  asio::write(socket, asio::buffer("GET " + target +
                                   " HTTP/1.1\r\nHost: h\r\n"
                                   "Connection: close\r\n\r\n"));
  std::string received;
  boost::system::error_code ended;
  asio::read(socket, asio::dynamic_buffer(received), ended);
  return received;
}

TEST(HandlerFault, EndsItsConnection) {
  FaultyHandler handler;
  IoThreads threads(1);
  Server server(threads, handler, ServerLimits());
  const auto port = server.Listen({"127.0.0.1", 0});
  ASSERT_TRUE(port.has_value());
  EXPECT_EQ(Fetch(*port, "/faulty"), "");
  EXPECT_TRUE(Fetch(*port, "/sound").starts_with("HTTP/1.1 200"));
  server.StopAccepting();
  threads.Stop();
}

}  // namespace
}  // namespace tamarackwing::http
