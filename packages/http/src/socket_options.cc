#include "socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tamarackwing::http {
namespace {

//! What stands at a socket to be read.
enum class Peeked { kNothing, kBytes, kClosed };

Peeked Peek(asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto received =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return Peeked::kBytes;
  }
  const bool would_wait =
      received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return would_wait ? Peeked::kNothing : Peeked::kClosed;
}

}  // namespace

void SetSocketOptions(asio::ip::tcp::socket& socket,
                      std::chrono::milliseconds silence) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto timeout = static_cast<unsigned>(silence.count());
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
               sizeof(timeout));
}

bool IsPeerClosed(asio::ip::tcp::socket& socket) {
  return Peek(socket) == Peeked::kClosed;
}

bool IsQuiet(asio::ip::tcp::socket& socket) {
  return Peek(socket) == Peeked::kNothing;
}

}  // namespace tamarackwing::http
