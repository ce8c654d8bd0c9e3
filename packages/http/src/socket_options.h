#pragma once

#include <chrono>

#include "tamarackwing/http/asio.h"

namespace tamarackwing::http {

//! Sets TCP_NODELAY, and TCP_USER_TIMEOUT so that the kernel closes the
//! connection when sent data stays unacknowledged for `unacked_timeout`.
void SetSocketOptions(asio::ip::tcp::socket& socket,
                      std::chrono::milliseconds unacked_timeout);

//! Starts to send keep-alive probes at `interval` while the connection is
//! silent, so that the kernel closes it when the peer acknowledges nothing for
//! `unacked_timeout`.
//! Precondition: `unacked_timeout` is longer than `interval`.
void StartKeepAliveProbes(asio::ip::tcp::socket& socket,
                          std::chrono::seconds interval,
                          std::chrono::milliseconds unacked_timeout);

//! Returns whether the peer has closed or reset the connection.
//! Precondition: the socket is readable.
bool IsPeerClosed(asio::ip::tcp::socket& socket);

//! What has become of the bytes that were written to a socket.
enum class SentBytes {
  //! The peer's kernel has acknowledged all of them.
  kReceived,
  kPending,
  //! The connection was reset or timed out.
  kLost,
};

//! Returns what has become of the bytes written to a socket. A connection that
//! the peer has ended in order is not lost. Precondition: the socket is
//! connected, and neither direction was shut down by this end.
SentBytes StateOfSentBytes(asio::ip::tcp::socket& socket);

//! Returns whether a socket is open and has nothing to read.
bool IsOpenAndIdle(asio::ip::tcp::socket& socket);

}  // namespace tamarackwing::http
