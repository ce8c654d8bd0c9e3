#include "load_run.h"

#include <atomic>
#include <charconv>
#include <iostream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>

#include "experiment.h"
#include "load_report.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/http/connection.h"
#include "tamarackwing/http/io_threads.h"
#include "tamarackwing/policy/token_bucket.h"

namespace tamarackwing::cli {
namespace {

using nlohmann::json;

//! How long after the deadline a response is still received; also the timeout
//! of requests to the directory, for metrics and for the fake servers' counts.
constexpr std::chrono::seconds kDeadlineGrace{2};
constexpr std::size_t kMaxBytes = 64 * 1024 * 1024;
constexpr unsigned kOk = 200;

//! A generated request and the host to which it is sent.
struct GeneratedRequest {
  const WorkspaceLoad* load = nullptr;
  http::Endpoint host;
  http::Request request;
  //! Whether the naive token bucket had the tokens.
  bool in_naive_budget = false;
};

std::string Prompt(std::uint32_t tokens, std::uint64_t variant) {
  std::string text = "survey " + std::to_string(variant % 8) + " ";
  while (text.size() < std::size_t{4} * tokens) {
    text += "dome flashing glazing ";
  }
  text.resize(std::size_t{4} * tokens);
  return text;
}

//! Sends the load of an experiment and collects the results.
class LoadRun {
 public:
  explicit LoadRun(Experiment experiment)
      : experiment(std::move(experiment)), random(this->experiment.seed) {}

  LoadReport Run() {
    const std::uint64_t forwarded = this->SumForwarded();
    std::vector<std::thread> senders;
    for (const WorkspaceLoad& load : this->experiment.workspaces) {
      this->report.workspaces[load.name];
      const std::uint64_t seed = this->random();
      senders.emplace_back([this, &load, seed] { this->SendAll(load, seed); });
    }
    for (std::thread& sender : senders) {
      sender.join();
    }
    while (this->in_flight.load() > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    this->report.forwarded = this->SumForwarded() - forwarded;
    this->ReadCounters();
    this->threads.Stop();
    return std::move(this->report);
  }

 private:
  void SendAll(const WorkspaceLoad& load, std::uint64_t seed) {
    std::mt19937_64 engine(seed);
    std::exponential_distribution<double> gap(
        static_cast<double>(load.requests_per_kilosecond) / 1'000);
    const std::vector<http::Endpoint> order = this->DirectoryHosts(load);
    const TimePoint start = std::chrono::steady_clock::now();
    policy::TokenBucket naive(load.rate, load.burst,
                              start - std::chrono::hours(1));
    TimePoint next = start;
    for (std::uint64_t number = 0;; ++number) {
      next += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(gap(engine)));
      if (next - start >= this->experiment.duration) {
        return;
      }
      std::this_thread::sleep_until(next);
      GeneratedRequest generated =
          GenerateRequest(load, engine(), seed, number);
      generated.host =
          load.spread ? order[number % order.size()] : order.front();
      const TokenCount tokens = TokensOf(load, generated);
      generated.in_naive_budget = naive.Level(next) >= tokens;
      if (generated.in_naive_budget) {
        naive.Take(tokens, next);
      }
      this->in_flight.fetch_add(1);
      http::asio::io_context& context = this->NextContext();
      http::asio::co_spawn(context,
                           SendOne(*this, context, std::move(generated)),
                           http::asio::detached);
    }
  }

  http::asio::io_context& NextContext() {
    const std::lock_guard lock(this->mutex);
    return this->threads.Next();
  }

  static TokenCount TokensOf(const WorkspaceLoad& load,
                             const GeneratedRequest& generated) {
    const bool is_operation =
        generated.request.head.target.starts_with("/services");
    return is_operation
               ? 1
               : TokenCount{load.prompt_tokens} + load.output_tokens + 1;
  }

  static GeneratedRequest GenerateRequest(const WorkspaceLoad& load,
                                          std::uint64_t random_bits,
                                          std::uint64_t seed,
                                          std::uint64_t number) {
    GeneratedRequest generated;
    generated.load = &load;
    http::RequestHead& head = generated.request.head;
    head.method = "POST";
    head.headers.Add("Host", "tamarackwing");
    head.headers.Add("Authorization", "Bearer " + load.key);
    head.headers.Add("Content-Type", "application/json");
    head.headers.Add("Request-Timeout", std::to_string(load.deadline.count()));
    const bool is_operation = random_bits % 100 < load.operation_percent &&
                              !load.operation_route.IsEmpty();
    if (is_operation) {
      head.target = "/services/" + load.operation_route.Text() + "/orders";
      head.headers.Add("Idempotency-Key",
                       std::to_string(seed) + "-" + std::to_string(number));
      generated.request.body = "{}";
      return generated;
    }
    head.target = "/v1/completions";
    const json body = {
        {"model", load.model_route.Text()},
        {"stream", true},
        {"max_tokens", load.output_tokens},
        {"prompt", Prompt(load.prompt_tokens, random_bits / 100)}};
    generated.request.body = body.dump();
    return generated;
  }

  static http::asio::awaitable<void> SendOne(LoadRun& run,
                                             http::asio::io_context& context,
                                             GeneratedRequest generated) {
    const TimePoint start = std::chrono::steady_clock::now();
    const TimePoint deadline = start + generated.load->deadline;
    const TimePoint until = deadline + kDeadlineGrace;
    http::Connection connection(context);
    std::string body;
    unsigned status = 0;
    bool complete = false;
    TimePoint first = until;
    const auto connected = co_await connection.Connect(generated.host, until);
    if (connected) {
      const auto sent =
          co_await connection.Send(std::move(generated.request), until);
      if (sent) {
        const auto head = co_await connection.ReadHead(until);
        first = std::chrono::steady_clock::now();
        status = head ? head->status : 0;
        while (head) {
          const auto piece = co_await connection.ReadPiece(until);
          if (!piece) {
            break;
          }
          if (piece->empty()) {
            complete = true;
            break;
          }
          body += *piece;
        }
      }
    }
    const TimePoint end = std::chrono::steady_clock::now();
    run.Record(generated, status, complete, body, first - start,
               end > deadline);
    run.in_flight.fetch_sub(1);
  }

  void Record(const GeneratedRequest& generated,
              unsigned status,
              bool complete,
              const std::string& body,
              Duration first_byte,
              bool is_late) {
    const std::lock_guard lock(this->mutex);
    WorkspaceReport& workspace = this->report.workspaces[generated.load->name];
    workspace.sent += 1;
    workspace.naive_admitted += generated.in_naive_budget ? 1 : 0;
    if (status == 0) {
      workspace.refused["unreachable"] += 1;
      return;
    }
    if (status != kOk) {
      const json document = json::parse(body, nullptr, false);
      const std::string code =
          document.is_object() ? document.value("code", "") : "";
      if (code != "over_budget") {
        workspace.refused[code] += 1;
      } else if (generated.in_naive_budget) {
        workspace.refused_inside += 1;
      } else {
        workspace.refused_over += 1;
      }
      return;
    }
    workspace.first_byte.push_back(first_byte);
    if (!complete) {
      workspace.cut += 1;
    } else if (is_late) {
      workspace.late += 1;
    } else {
      workspace.served += 1;
    }
  }

  //! Returns the hosts that the directory lists for a workspace's key, in its
  //! order; those of the experiment if no host returns a list.
  std::vector<http::Endpoint> DirectoryHosts(const WorkspaceLoad& load) {
    std::vector<http::Endpoint> order;
    http::Request request;
    request.head.method = "GET";
    request.head.target = "/v1/hosts";
    request.head.headers.Add("Host", "tamarackwing");
    request.head.headers.Add("Authorization", "Bearer " + load.key);
    for (const http::Endpoint& host : this->experiment.hosts) {
      const auto response = this->Get(host, request);
      if (!response || response->head.status != kOk) {
        continue;
      }
      const json document = json::parse(response->body, nullptr, false);
      for (const json& entry : document.value("hosts", json::array())) {
        order.push_back({entry.value("address", ""),
                         entry.value("port", std::uint16_t{0})});
      }
      if (!order.empty()) {
        return order;
      }
    }
    return this->experiment.hosts;
  }

  std::optional<http::Response> Get(const http::Endpoint& endpoint,
                                    const http::Request& request) {
    http::asio::io_context& context = this->NextContext();
    auto pending = http::asio::co_spawn(
        context,
        http::Fetch(context, endpoint, request,
                    std::chrono::steady_clock::now() + kDeadlineGrace,
                    kMaxBytes),
        http::asio::use_future);
    auto response = pending.get();
    if (!response) {
      return std::nullopt;
    }
    return std::move(*response);
  }

  //! Returns the sum of the hosts' counters of forwarded requests.
  std::uint64_t SumForwarded() {
    std::uint64_t sum = 0;
    http::Request request;
    request.head.method = "GET";
    request.head.target = "/metrics";
    request.head.headers.Add("Host", "tamarackwing");
    const std::string name = "tamarackwing_forwarded_total ";
    for (const http::Endpoint& host : this->experiment.hosts) {
      const auto response = this->Get(host, request);
      const std::size_t at =
          response ? response->body.find(name) : std::string::npos;
      if (at != std::string::npos) {
        const char* begin = response->body.data() + at + name.size();
        std::uint64_t value = 0;
        std::from_chars(begin, response->body.data() + response->body.size(),
                        value);
        sum += value;
      }
    }
    return sum;
  }

  //! Adds the busy time of all fake servers, and the number of operations that
  //! ran more than once on these servers together.
  void ReadCounters() {
    std::map<std::string, std::uint64_t> runs;
    http::Request request;
    request.head.method = "GET";
    request.head.target = "/fake/runs";
    request.head.headers.Add("Host", "tamarackwing");
    for (const http::Endpoint& counter : this->experiment.counters) {
      const auto response = this->Get(counter, request);
      if (!response) {
        continue;
      }
      const json document = json::parse(response->body, nullptr, false);
      this->report.server_time +=
          std::chrono::milliseconds(document.value("busy_ms", 0));
      const json counts = document.value("runs", json::object());
      for (const auto& [key, count] : counts.items()) {
        runs[key] += count.get<std::uint64_t>();
      }
    }
    for (const auto& [key, count] : runs) {
      this->report.double_runs += count > 1 && key != "none" ? 1 : 0;
    }
  }

  Experiment experiment;
  std::mt19937_64 random;
  http::IoThreads threads{2};
  std::mutex mutex;
  std::atomic<std::uint64_t> in_flight{0};
  LoadReport report;
};

}  // namespace

ExitCode RunExperiment(std::string_view toml) {
  auto experiment = ParseExperiment(toml);
  if (!experiment) {
    for (const config::Fault& fault : experiment.error()) {
      std::cerr << "line " << fault.line << ": " << fault.path << ": "
                << config::FaultName(fault.code) << "\n";
    }
    return ExitCode::kUsage;
  }
  const LoadReport report = LoadRun(std::move(*experiment)).Run();
  std::cout << RenderReport(report) << "\n";
  return report.double_runs > 0 ? ExitCode::kDuplicateRun : ExitCode::kDone;
}

}  // namespace tamarackwing::cli
