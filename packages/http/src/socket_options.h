#pragma once

#include <chrono>

#include "tamarackwing/http/asio.h"

namespace tamarackwing::http {

//! Sets TCP_NODELAY and ends the connection when sent bytes stay
//! unacknowledged for `silence`.
void SetSocketOptions(asio::ip::tcp::socket& socket,
                      std::chrono::milliseconds silence);

//! Whether the peer has closed or reset its side.
//! Precondition: the socket is readable.
bool IsPeerClosed(asio::ip::tcp::socket& socket);

//! Whether an idle socket is open and has nothing to read.
bool IsQuiet(asio::ip::tcp::socket& socket);

}  // namespace tamarackwing::http
