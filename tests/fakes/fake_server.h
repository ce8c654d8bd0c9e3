#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/endpoint.h"
#include "tamarackwing/http/io_threads.h"
#include "tamarackwing/http/server.h"
#include "tamarackwing/http/whole_request_handler.h"

namespace tamarackwing::fakes {

//! How a stand-in server is built and how it fails.
struct FakeBehaviour {
  std::uint32_t slots = 8;
  //! Tokens a second.
  double prefill_rate = 20'000;
  double decode_rate = 400;
  //! Reports the load of so long ago.
  std::chrono::milliseconds report_lag{200};
  std::chrono::milliseconds announce_every{500};
  //! Time a plain service takes.
  std::chrono::milliseconds service_time{5};
  //! Drops every n-th cache event; zero drops none.
  std::uint32_t drop_cache_event = 0;
  //! Whether an order with an old fencing number is refused.
  bool obeys_fencing = true;
  //! Takes requests and never answers.
  bool silent = false;
  //! Closes a stream, or goes silent on it, after so many tokens; once.
  std::uint32_t cut_after = 0;
  std::uint32_t silent_after = 0;
  //! Answers every request with this status.
  unsigned fail_status = 0;
  bool leaving = false;
};

//! Who a stand-in server is.
struct FakeIdentity {
  std::string name;
  std::string region;
  std::string data_centre;
  std::vector<std::string> targets;
  //! Entry hosts to which it announces itself.
  std::vector<http::Endpoint> hosts;
};

//! A stand-in for a model engine with continuous batching and for a plain
//! service that counts what it ran. Thread safety: public methods from any
//! thread.
class FakeServer final : public http::WholeRequestHandler {
 public:
  //! Precondition: `threads` outlives the server.
  FakeServer(http::IoThreads& threads,
             FakeIdentity identity,
             FakeBehaviour behaviour);
  ~FakeServer() override;

  //! Listens and starts to announce itself; returns the port.
  std::uint16_t Start(const http::Endpoint& endpoint);
  //! Changes how it behaves.
  void SetBehaviour(const FakeBehaviour& behaviour);
  FakeBehaviour Behaviour() const;
  //! How often each operation ran, by idempotency key.
  std::map<std::string, std::uint32_t> Runs() const;
  //! Every value of every header and body that it has seen.
  std::string Seen() const;
  //! Requests that have started.
  std::uint32_t Started() const;
  //! Streams that were cancelled by their asker.
  std::uint32_t Cancelled() const;

  std::optional<http::Response> CheckHead(
      const http::RequestHead& head) override;
  http::asio::awaitable<void> Handle(http::Request request,
                                     http::ResponseWriter& writer) override;
  http::Response RejectFault(http::RequestFault fault) override;

 private:
  struct Stream {
    std::uint32_t tokens = 0;
  };
  class Slot;

  http::asio::awaitable<void> ServeModel(const http::Request& request,
                                         http::ResponseWriter& writer);
  http::asio::awaitable<void> ServeService(const http::Request& request,
                                           http::ResponseWriter& writer);
  http::asio::awaitable<void> ServeResume(const http::Request& request,
                                          http::ResponseWriter& writer);
  http::asio::awaitable<void> WriteTokens(http::ResponseWriter& writer,
                                          std::uint32_t from,
                                          std::uint32_t to,
                                          bool may_fail);
  http::asio::awaitable<void> EnterSlot();
  http::asio::awaitable<void> Prefill(const std::string& prompt);
  http::asio::awaitable<void> Pause(Duration time);
  http::asio::awaitable<void> Announce();
  http::asio::awaitable<void> SendCacheEvent(std::uint64_t prefix);
  http::Response Counts() const;
  http::Response TakeOrder(const http::Request& request);
  http::Response SetBehaviourFrom(const http::Request& request);
  std::string Report() const;
  http::asio::awaitable<void> Post(std::string target, std::string body);

  http::IoThreads& threads;
  FakeIdentity identity;
  http::Endpoint endpoint;
  std::unique_ptr<http::Server> server;
  std::shared_ptr<std::atomic<bool>> stopped =
      std::make_shared<std::atomic<bool>>(false);

  mutable std::mutex mutex;
  FakeBehaviour behaviour;
  std::uint32_t running = 0;
  //! Slot time used.
  Duration busy{};
  std::uint32_t queued = 0;
  std::uint32_t started = 0;
  std::uint32_t cancelled = 0;
  std::uint64_t next_stream = 1;
  std::uint64_t fencing = 0;
  std::uint32_t cache_events = 0;
  std::set<std::uint64_t> cached;
  std::map<std::string, Stream> streams;
  std::map<std::string, std::uint32_t> runs;
  std::string seen;
};

}  // namespace tamarackwing::fakes
