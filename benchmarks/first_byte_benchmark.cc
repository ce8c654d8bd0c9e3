//! Measures the time to first byte of a streamed response, through a host and
//! directly from the fake server, in the same run.

#include <algorithm>
#include <iostream>
#include <vector>

#include "tamarackwing/http/connection.h"
#include "tamarackwing/state/set_parser.h"
#include "test_host.h"

namespace tamarackwing {
namespace {

constexpr int kRequests = 2'000;
constexpr std::uint16_t kPort = 21'500;
constexpr std::chrono::seconds kTimeout{5};

http::asio::awaitable<std::vector<double>> Measure(http::IoThreads& threads,
                                                   http::Endpoint endpoint) {
  std::vector<double> milliseconds;
  http::Connection connection(*threads.All().front());
  const TimePoint until =
      std::chrono::steady_clock::now() + kRequests * kTimeout;
  co_await connection.Connect(endpoint, until);
  for (int i = 0; i < kRequests; ++i) {
    const TimePoint start = std::chrono::steady_clock::now();
    co_await connection.Send(tests::ModelRequest("desk-key", 1, true), until);
    const auto head = co_await connection.ReadHead(until);
    auto piece = co_await connection.ReadPiece(until);
    const TimePoint first = std::chrono::steady_clock::now();
    while (head && piece && !piece->empty()) {
      piece = co_await connection.ReadPiece(until);
    }
    if (head && head->status == 200) {
      milliseconds.push_back(
          std::chrono::duration<double, std::milli>(first - start).count());
    }
  }
  std::sort(milliseconds.begin(), milliseconds.end());
  co_return milliseconds;
}

std::vector<double> Run(http::IoThreads& threads,
                        const http::Endpoint& endpoint) {
  return http::asio::co_spawn(*threads.All().front(),
                              Measure(threads, endpoint),
                              http::asio::use_future)
      .get();
}

void Print(const char* name, const std::vector<double>& sorted) {
  const auto at = [&](double quantile) {
    return sorted[static_cast<std::size_t>(
        quantile * static_cast<double>(sorted.size() - 1))];
  };
  std::cout << name << ": " << sorted.size() << " responses, p50 " << at(0.5)
            << " ms, p99 " << at(0.99) << " ms\n";
}

int Main() {
  const tests::TemporaryFolder folder;
  daemon::Settings settings = tests::SingleHostSettings(kPort, folder.Path());
  settings.servers.ramp = std::chrono::milliseconds(0);
  http::IoThreads threads(2);
  fakes::FakeIdentity identity{"engine",
                               "muscat",
                               "muscat-a",
                               {"drafter@3"},
                               {settings.backend_servers}};
  fakes::FakeBehaviour behaviour;
  behaviour.decode_rate = 1e6;
  behaviour.prefill_rate = 1e7;
  fakes::FakeServer engine(threads, identity, behaviour);
  daemon::Daemon host(settings, true);
  const auto set = state::ParseSet(tests::ExampleSet());
  if (!set || !host.Start() || !tests::PublishInitialSet(host, *set)) {
    return 1;
  }
  const std::uint16_t port = engine.Start({"127.0.0.1", 0});
  const bool ready = tests::WaitFor([&] {
    return tests::Call(threads, settings.callers,
                       tests::ModelRequest("desk-key", 1, false))
               .status == 200;
  });
  if (!ready) {
    return 1;
  }
  Print("direct", Run(threads, {"127.0.0.1", port}));
  Print("through a host", Run(threads, settings.callers));
  threads.Stop();
  return 0;
}

}  // namespace
}  // namespace tamarackwing

int main() {
  return tamarackwing::Main();
}
