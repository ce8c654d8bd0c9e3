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

//! Performance of a fake server and the faults that it injects.
struct FakeBehaviour {
  //! Requests served at the same time; further ones wait.
  std::uint32_t slots = 8;
  //! Tokens per second.
  double prefill_rate = 20'000;
  double decode_rate = 400;
  //! Age of a load report when it is sent.
  std::chrono::milliseconds report_lag{200};
  std::chrono::milliseconds announce_every{500};
  //! Processing time of a service request.
  std::chrono::milliseconds service_time{5};
  //! Drops every n-th cache event; zero drops none.
  std::uint32_t drop_cache_event = 0;
  //! Whether orders are rejected if their fencing number is lower than the
  //! highest one seen.
  bool checks_fencing = true;
  //! Accepts requests and does not respond.
  bool silent = false;
  //! Every new stream is aborted after `cut_after` tokens, or falls silent
  //! after `silent_after` tokens; zero: never. Resumed streams are not
  //! affected.
  std::uint32_t cut_after = 0;
  std::uint32_t silent_after = 0;
  //! Responds to every request with this status; zero: off.
  unsigned fail_status = 0;
  //! Reported to the hosts: the server is shutting down.
  bool leaving = false;
};

//! Name, location and targets that a fake server announces.
struct FakeIdentity {
  std::string name;
  std::string region;
  std::string data_centre;
  //! Model versions and services.
  std::vector<std::string> targets;
  //! Announcement endpoints of entry hosts; each message goes to the first that
  //! responds.
  std::vector<http::Endpoint> hosts;
};

//! A fake backend server: a model engine with continuous batching, and a
//! service that counts how often it ran each operation. Thread safety: public
//! methods may be called from any thread.
class FakeServer final : public http::WholeRequestHandler {
 public:
  //! Precondition: `threads` outlives the server.
  FakeServer(http::IoThreads& threads,
             FakeIdentity identity,
             FakeBehaviour behaviour);
  ~FakeServer() override;

  //! Listens and starts to announce the server to the hosts. Returns the port,
  //! zero if listening failed.
  std::uint16_t Start(const http::Endpoint& endpoint);
  void SetBehaviour(const FakeBehaviour& behaviour);
  FakeBehaviour Behaviour() const;
  //! Returns how often each operation ran, by idempotency key.
  std::map<std::string, std::uint32_t> Runs() const;
  //! Returns the headers, targets and bodies of the requests received; nothing
  //! is added once they exceed 1 MiB.
  std::string Seen() const;
  //! Returns the number of model, resume and service requests received.
  std::uint32_t Started() const;
  //! Returns the number of streams whose receiver closed the connection early.
  std::uint32_t Cancelled() const;

  std::optional<http::Response> CheckHead(
      const http::RequestHead& head) override;
  http::asio::awaitable<void> Handle(http::Request request,
                                     http::ResponseWriter& writer) override;
  http::Response RejectFault(http::RequestFault fault) override;

 private:
  struct Stream {
    //! Length of the complete stream.
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
                                          bool inject_faults);
  http::asio::awaitable<void> AcquireSlot();
  http::asio::awaitable<void> Prefill(const std::string& prompt);
  http::asio::awaitable<void> Pause(Duration time);
  http::asio::awaitable<void> Announce();
  http::asio::awaitable<void> SendCacheEvent(std::uint64_t prefix);
  http::Response Counts() const;
  http::Response HandleOrder(const http::Request& request);
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
  //! Sum of the times for which slots were occupied by finished requests.
  Duration busy{};
  std::uint32_t queued = 0;
  std::uint32_t started = 0;
  std::uint32_t cancelled = 0;
  std::uint64_t next_stream = 1;
  std::uint64_t highest_fencing = 0;
  std::uint32_t cache_events = 0;
  //! Digests of the prompt prefixes in the KV cache.
  std::set<std::uint64_t> cached_prefixes;
  //! Streams that can be resumed, by id.
  std::map<std::string, Stream> streams;
  std::map<std::string, std::uint32_t> runs;
  std::string seen;
};

}  // namespace tamarackwing::fakes
