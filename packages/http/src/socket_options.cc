#include "socket_options.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace tamarackwing::http {
namespace {

//! Result of looking at a socket's input without consuming it.
enum class PendingInput { kNothing, kBytes, kClosed };

PendingInput Peek(asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto received =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return PendingInput::kBytes;
  }
  const bool would_block =
      received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return would_block ? PendingInput::kNothing : PendingInput::kClosed;
}

void SetTcpOption(asio::ip::tcp::socket& socket, int name, int value) {
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value,
               sizeof(value));
}

}  // namespace

void SetSocketOptions(asio::ip::tcp::socket& socket,
                      std::chrono::milliseconds unacked_timeout) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  SetTcpOption(socket, TCP_USER_TIMEOUT,
               static_cast<int>(unacked_timeout.count()));
}

void StartKeepAliveProbes(asio::ip::tcp::socket& socket,
                          std::chrono::seconds interval,
                          std::chrono::milliseconds unacked_timeout) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  SetTcpOption(socket, TCP_KEEPIDLE, static_cast<int>(interval.count()));
  SetTcpOption(socket, TCP_KEEPINTVL, static_cast<int>(interval.count()));
  // Linux gives up by the user timeout if it is set, others by the count.
  SetTcpOption(socket, TCP_KEEPCNT,
               static_cast<int>(unacked_timeout / interval));
  SetTcpOption(socket, TCP_USER_TIMEOUT,
               static_cast<int>(unacked_timeout.count()));
}

bool IsPeerClosed(asio::ip::tcp::socket& socket) {
  return Peek(socket) == PendingInput::kClosed;
}

SentBytes StateOfSentBytes(asio::ip::tcp::socket& socket) {
  // The error of a reset that follows an orderly end is not reported by reads.
  tcp_info info{};
  socklen_t length = sizeof(info);
  const bool is_known = ::getsockopt(socket.native_handle(), IPPROTO_TCP,
                                     TCP_INFO, &info, &length) == 0;
  if (!is_known || info.tcpi_state == TCP_CLOSE) {
    return SentBytes::kLost;
  }
  int unacknowledged = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) != 0) {
    return SentBytes::kLost;
  }
  return unacknowledged == 0 ? SentBytes::kReceived : SentBytes::kPending;
}

bool IsOpenAndIdle(asio::ip::tcp::socket& socket) {
  return Peek(socket) == PendingInput::kNothing;
}

}  // namespace tamarackwing::http
