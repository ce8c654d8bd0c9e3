#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/endpoint.h"
#include "tamarackwing/http/server_limits.h"

namespace tamarackwing::http {

class Handler;
class IoThreads;

//! Why a listener could not be opened.
enum class ListenError { kBadAddress, kAddressInUse, kOther };

//! An HTTP/1.1 listener whose connections are spread over the traffic threads.
class Server {
 public:
  //! Preconditions: `threads` and `handler` outlive the server and its
  //! connections.
  Server(IoThreads& threads, Handler& handler, ServerLimits limits);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  //! Binds and accepts; port 0 takes a free one. Returns the port.
  //! Thread safety: once, from one thread.
  Expected<std::uint16_t, ListenError> Listen(const Endpoint& endpoint);
  //! Goes on accepting, but closes each connection after its next answer, so
  //! that peers turn to other hosts. Thread safety: callable from any thread.
  void StopKeepingAlive();
  //! Closes the listener and lets open requests finish; connections close
  //! after their current answer. Thread safety: callable from any thread.
  void StopAccepting();
  //! Connections still open. Thread safety: callable from any thread.
  std::size_t OpenConnections() const;

 private:
  struct Shared;
  asio::awaitable<void> Accept();

  IoThreads& threads;
  std::shared_ptr<Shared> shared;
  asio::ip::tcp::acceptor acceptor;
};

}  // namespace tamarackwing::http
