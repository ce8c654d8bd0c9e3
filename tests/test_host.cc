#include "test_host.h"

#include <array>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>

#include "tamarackwing/base/digest.h"

namespace tamarackwing::tests {
namespace {

constexpr std::chrono::seconds kTimeout{5};
constexpr std::chrono::milliseconds kPollInterval{5};

http::asio::awaitable<CallResult> CallOnce(http::IoThreads& threads,
                                           http::Endpoint endpoint,
                                           http::Request request) {
  CallResult result;
  const TimePoint until = std::chrono::steady_clock::now() + kTimeout;
  http::Connection connection(*threads.All().front());
  const auto connected = co_await connection.Connect(endpoint, until);
  if (!connected) {
    co_return result;
  }
  const auto sent = co_await connection.Send(std::move(request), until);
  if (!sent) {
    co_return result;
  }
  const auto head = co_await connection.ReadHead(until);
  if (!head) {
    co_return result;
  }
  result.status = head->status;
  result.headers = head->headers;
  while (true) {
    const auto piece = co_await connection.ReadPiece(until);
    if (!piece) {
      co_return result;
    }
    if (piece->empty()) {
      result.complete = true;
      co_return result;
    }
    result.body += *piece;
  }
}

http::asio::awaitable<std::string> CallRawOnce(http::Endpoint endpoint,
                                               std::string bytes) {
  http::asio::ip::tcp::socket socket(co_await http::asio::this_coro::executor);
  const http::asio::ip::tcp::endpoint remote(
      http::asio::ip::make_address(endpoint.address), endpoint.port);
  boost::system::error_code error;
  auto token = http::asio::redirect_error(http::asio::use_awaitable, error);
  co_await socket.async_connect(remote, token);
  co_await http::asio::async_write(socket, http::asio::buffer(bytes), token);
  std::string response;
  co_await http::asio::async_read(socket, http::asio::dynamic_buffer(response),
                                  token);
  co_return response;
}

std::string KeyTable(const std::string& key, const std::string& workspace) {
  return "[[keys]]\ndigest = \"" + Sha256Hex(key) + "\"\nworkspace = \"" +
         workspace + "\"\nhome_regions = [\"muscat\"]\n";
}

}  // namespace

std::string ExampleSet(const std::string& regions) {
  return "[[residency_rules]]\nname = \"oman\"\nregions = [" + regions +
         R"(]
[[workspaces]]
name = "desk"
rate = 100000
burst = 200000
residency = "oman"
home_regions = [)" +
         regions + R"(]
[[workspaces]]
name = "crew"
rate = 10
burst = 100
home_regions = ["muscat"]
residency = "oman"
[[model_versions]]
name = "drafter@3"
model = "drafter"
[[routes]]
name = "drafting"
kind = "model"
model_version = "drafter@3"
deadline_ms = 8000
home_regions = ["muscat"]
residency = "oman"
[[routes]]
name = "booking"
kind = "service"
idempotent = false
deadline_ms = 4000
home_regions = ["muscat"]
residency = "oman"
[[routes]]
name = "gauge"
kind = "service"
idempotent = true
deadline_ms = 4000
home_regions = ["muscat"]
residency = "oman"
)" + KeyTable("desk-key", "desk") +
         KeyTable("crew-key", "crew");
}

TemporaryFolder::TemporaryFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "tamarackwing-XXXXXX").string();
  this->path = ::mkdtemp(pattern.data());
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(this->path, ignored);
}

bool PublishInitialSet(daemon::Daemon& host,
                       const state::ConfigurationSet& set) {
  state::PublishSet publish;
  publish.delta = state::DiffSets({}, set);
  int tries = 0;
  // A set that names a region is rejected until a host of that region has
  // joined the cluster.
  return WaitFor([&] {
    publish.id = PublishId("first-" + std::to_string(tries++));
    std::promise<bool> applied;
    host.Operators().Change(publish, [&](operators::OrderResult result) {
      applied.set_value(result.outcome &&
                        result.outcome->kind == state::ApplyKind::kApplied);
    });
    return applied.get_future().get();
  });
}

daemon::Settings SingleHostSettings(std::uint16_t first_port,
                                    const std::string& data_folder) {
  daemon::Settings settings;
  settings.data_folder = data_folder;
  settings.times.heartbeat = std::chrono::milliseconds(50);
  settings.times.election = std::chrono::milliseconds(200);
  settings.gateway.host = HostName("muscat-1");
  settings.gateway.region = RegionName("muscat");
  settings.gateway.data_centre = DataCentreName("muscat-a");
  settings.gateway.cluster_secret = "secret";
  settings.callers = {"127.0.0.1", first_port};
  settings.backend_servers = {"127.0.0.1",
                              static_cast<std::uint16_t>(first_port + 1)};
  settings.operators = {"127.0.0.1",
                        static_cast<std::uint16_t>(first_port + 2)};
  state::HostRecord host;
  host.name = settings.gateway.host;
  host.region = settings.gateway.region;
  host.data_centre = settings.gateway.data_centre;
  host.caller_address = settings.callers.address;
  host.caller_port = settings.callers.port;
  host.peer_address = "127.0.0.1";
  host.peer_port = static_cast<std::uint16_t>(first_port + 3);
  host.forward_port = static_cast<std::uint16_t>(first_port + 4);
  host.has_disk = true;
  settings.hosts.push_back(host);
  settings.voters.push_back(host.name);
  return settings;
}

daemon::Settings ClusterSettings(std::size_t index,
                                 std::uint16_t first_port,
                                 const std::string& data_folder) {
  constexpr std::array kRegions = {"muscat", "sohar", "salalah"};
  constexpr std::uint16_t kPortsPerHost = 10;
  daemon::Settings settings;
  std::vector<state::HostRecord> hosts;
  std::vector<HostName> voters;
  for (std::size_t i = 0; i < kRegions.size(); ++i) {
    const auto port =
        static_cast<std::uint16_t>(first_port + i * kPortsPerHost);
    daemon::Settings host_settings = SingleHostSettings(port, data_folder);
    state::HostRecord& host = host_settings.hosts.front();
    host.name = HostName(std::string(kRegions[i]) + "-1");
    host.region = RegionName(kRegions[i]);
    host.data_centre = DataCentreName(std::string(kRegions[i]) + "-a");
    hosts.push_back(host);
    voters.push_back(host.name);
    if (i == index) {
      settings = host_settings;
      settings.gateway.host = host.name;
      settings.gateway.region = host.region;
      settings.gateway.data_centre = host.data_centre;
    }
  }
  settings.hosts = std::move(hosts);
  settings.voters = std::move(voters);
  return settings;
}

CallResult Call(http::IoThreads& threads,
                const http::Endpoint& endpoint,
                http::Request request) {
  return http::asio::co_spawn(*threads.All().front(),
                              CallOnce(threads, endpoint, std::move(request)),
                              http::asio::use_future)
      .get();
}

std::string CallRaw(http::IoThreads& threads,
                    const http::Endpoint& endpoint,
                    std::string bytes) {
  return http::asio::co_spawn(*threads.All().front(),
                              CallRawOnce(endpoint, std::move(bytes)),
                              http::asio::use_future)
      .get();
}

http::Request ModelRequest(const std::string& key, int tokens, bool stream) {
  http::Request request;
  request.head.method = "POST";
  request.head.target = "/v1/chat/completions";
  request.head.headers.Add("Host", "gateway");
  request.head.headers.Add("Authorization", "Bearer " + key);
  const nlohmann::json body = {
      {"model", "drafting"},
      {"stream", stream},
      {"max_tokens", tokens},
      {"messages", {{{"role", "user"}, {"content", "four dome lights"}}}}};
  request.body = body.dump();
  return request;
}

http::Request ServiceRequest(const std::string& key,
                             const std::string& route,
                             const std::string& idempotency_key) {
  http::Request request;
  request.head.method = "POST";
  request.head.target = "/services/" + route + "/orders";
  request.head.headers.Add("Host", "gateway");
  request.head.headers.Add("Authorization", "Bearer " + key);
  if (!idempotency_key.empty()) {
    request.head.headers.Add("Idempotency-Key", idempotency_key);
  }
  request.body = "{}";
  return request;
}

bool WaitFor(const std::function<bool()>& condition) {
  const TimePoint until = std::chrono::steady_clock::now() + kTimeout;
  while (std::chrono::steady_clock::now() < until) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return condition();
}

}  // namespace tamarackwing::tests
