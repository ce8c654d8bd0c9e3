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

//! Reason why a listener could not be opened.
enum class ListenError { kBadAddress, kAddressInUse, kOther };

//! HTTP/1.1 listener that distributes its connections over the traffic threads.
class Server {
 public:
  //! Preconditions: `threads` and `handler` outlive the server and its
  //! connections.
  Server(IoThreads& threads, Handler& handler, ServerLimits limits);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  //! Binds `endpoint` and starts to accept; port 0 selects a free port. Returns
  //! the port that was bound.
  //! Thread safety: once, from one thread.
  Expected<std::uint16_t, ListenError> Listen(const Endpoint& endpoint);
  //! Continues to accept connections, but closes each one after its next
  //! response, so that peers reconnect, which lets them choose another host.
  //! Thread safety: callable from any thread.
  void StopKeepingAlive();
  //! Stops accepting connections and lets requests in progress finish. Each
  //! open connection closes after its current response, or, if it is idle,
  //! after its next response or the idle timeout. Thread safety: callable from
  //! any thread.
  void StopAccepting();
  //! Returns the number of open connections. Thread safety: callable from any
  //! thread.
  std::size_t OpenConnections() const;

 private:
  struct Shared;
  asio::awaitable<void> Accept();

  IoThreads& threads;
  std::shared_ptr<Shared> shared;
  asio::ip::tcp::acceptor acceptor;
};

}  // namespace tamarackwing::http
