//! Tests of a connection whose peer acknowledges nothing any more, or only
//! takes long to respond.

#include <gtest/gtest.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <thread>

#include "tamarackwing/http/connection.h"

namespace tamarackwing::http {
namespace {

using std::chrono::seconds;

class ConnectionProbeTest : public testing::Test {
 protected:
  void SetUp() override {
    this->Run([this]() -> asio::awaitable<void> {
      const TimePoint deadline = std::chrono::steady_clock::now() + kLong;
      const Endpoint endpoint{"127.0.0.1",
                              this->acceptor.local_endpoint().port()};
      EXPECT_TRUE((co_await this->connection.Connect(endpoint, deadline)));
      this->connection.StartProbing();
      this->peer = this->acceptor.accept();
      Request request;
      request.head.method = "GET";
      request.head.target = "/";
      EXPECT_TRUE(
          (co_await this->connection.Send(std::move(request), deadline)));
    });
  }

  template <typename Step>
  void Run(Step step) {
    asio::co_spawn(this->context, step(), asio::detached);
    this->context.restart();
    this->context.run();
  }

  //! Makes the peer's kernel drop all that arrives on the connection.
  void DropAllAtPeer() {
    std::array<sock_filter, 1> drop = {sock_filter{BPF_RET | BPF_K, 0, 0, 0}};
    const sock_fprog program{drop.size(), drop.data()};
    ASSERT_EQ(::setsockopt(this->peer.native_handle(), SOL_SOCKET,
                           SO_ATTACH_FILTER, &program, sizeof(program)),
              0);
  }

  Expected<ResponseHead, ConnectionError> ReadHead() {
    Expected<ResponseHead, ConnectionError> head;
    this->Run([this, &head]() -> asio::awaitable<void> {
      head = co_await this->connection.ReadHead(
          std::chrono::steady_clock::now() + kLong);
    });
    return head;
  }

  static constexpr seconds kLong{60};

  asio::io_context context;
  asio::ip::tcp::acceptor acceptor{context,
                                   {asio::ip::address_v4::loopback(), 0}};
  asio::ip::tcp::socket peer{context};
  Connection connection{context};
};

TEST_F(ConnectionProbeTest, CallEndsIfThePeerAcknowledgesNothing) {
  this->DropAllAtPeer();
  const TimePoint start = std::chrono::steady_clock::now();
  const auto head = this->ReadHead();
  ASSERT_FALSE(head.has_value());
  EXPECT_EQ(head.error(), ConnectionError::kTimeout);
  EXPECT_LT(std::chrono::steady_clock::now() - start, kLong / 2);
}

TEST_F(ConnectionProbeTest, PeerThatTakesLongToRespondIsNotGivenUp) {
  std::thread responder([this] {
    std::this_thread::sleep_for(seconds(5));
    asio::write(this->peer,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
  });
  const auto head = this->ReadHead();
  responder.join();
  ASSERT_TRUE(head.has_value());
  EXPECT_EQ(head->status, 200U);
}

}  // namespace
}  // namespace tamarackwing::http
