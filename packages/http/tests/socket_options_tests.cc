#include "socket_options.h"

#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tamarackwing::http {
namespace {

int OptionOf(asio::ip::tcp::socket& socket, int level, int name) {
  int value = -1;
  socklen_t size = sizeof(value);
  EXPECT_EQ(::getsockopt(socket.native_handle(), level, name, &value, &size),
            0);
  return value;
}

// The user timeout also ends keep-alive probes, whatever their count, so an
// idle connection would end with it if probes were sent.
TEST(SocketOptionsTest, UserTimeoutAppliesToUnacknowledgedDataOnly) {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  asio::ip::tcp::socket client(context);
  client.connect(acceptor.local_endpoint());
  asio::ip::tcp::socket served = acceptor.accept();
  for (asio::ip::tcp::socket* socket : {&client, &served}) {
    SetSocketOptions(*socket, std::chrono::seconds(10));
    EXPECT_EQ(OptionOf(*socket, IPPROTO_TCP, TCP_USER_TIMEOUT), 10'000);
    EXPECT_EQ(OptionOf(*socket, SOL_SOCKET, SO_KEEPALIVE), 0);
  }
}

}  // namespace
}  // namespace tamarackwing::http
