#include "socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tamarackwing::http {

void SetSocketOptions(asio::ip::tcp::socket& socket,
                      std::chrono::milliseconds silence) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto timeout = static_cast<unsigned>(silence.count());
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
               sizeof(timeout));
}

bool IsPeerClosed(asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto received =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received == 0) {
    return true;
  }
  return received < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
}

bool IsQuiet(asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto received =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace tamarackwing::http
