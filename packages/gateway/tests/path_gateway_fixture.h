//! A PathGateway of one host with its dependencies, for tests of how it serves
//! calls.

#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include "tamarackwing/base/metrics.h"
#include "tamarackwing/gateway/block_quarantine.h"
#include "tamarackwing/gateway/link_prober.h"
#include "tamarackwing/gateway/path_gateway.h"
#include "tamarackwing/gateway/region_hosts.h"
#include "tamarackwing/gateway/stream_origins.h"
#include "tamarackwing/gateway/token_budget.h"
#include "tamarackwing/http/io_threads.h"

namespace tamarackwing::gateway {

inline http::Endpoint Local(std::uint16_t port) {
  return {"127.0.0.1", port};
}

class OpenBudget final : public TokenBudget {
 public:
  void Reserve(const WorkspaceName&,
               TokenCount,
               TimePoint latest,
               Callback callback) override {
    this->last_latest = latest;
    callback({true, 1, {}, 0, 0, {}});
  }
  void Settle(const WorkspaceName&, std::uint64_t, TokenCount) override {}

  TimePoint last_latest;
};

class FixedHosts final : public RegionHosts {
 public:
  Duration OwnWait(const std::string&) override { return Duration::zero(); }
  std::vector<ForwardTarget> Candidates(const std::string&) override {
    return {};
  }
  std::vector<ForwardTarget> Neighbours() override { return this->hosts; }
  std::shared_ptr<const SpillPlan> PlanFor(const std::string&) override {
    return this->plan;
  }
  void NoteOffered(const std::string&,
                   const policy::OfferedCall& call) override {
    this->offered.push_back(call);
  }
  void NoteServed(const std::string&, const policy::ServedCall&) override {}

  std::vector<ForwardTarget> hosts;
  std::shared_ptr<const SpillPlan> plan;
  std::vector<policy::OfferedCall> offered;
};

//! For calls that reach no server.
class NullPathProtocol final : public PathProtocol {
 public:
  http::Request EncodeRequest(const PathCall&,
                              const SendContext&) const override {
    return {};
  }
  PathResponse ReadResponse(const PathCall&,
                            const http::ResponseHead&) const override {
    return {};
  }
  http::Response EncodeRefusal(const Refusal&) const override {
    return http::MakeResponse(503, "text/plain", "refused");
  }
};

//! Keeps the response's status and head.
class KeptResponse : public http::ResponseWriter {
 public:
  http::asio::awaitable<bool> Send(http::Response response) override {
    this->head = std::move(response.head);
    co_return true;
  }
  http::asio::awaitable<bool> StartStream(http::ResponseHead) override {
    co_return true;
  }
  http::asio::awaitable<bool> WritePiece(std::string_view) override {
    co_return true;
  }
  http::asio::awaitable<bool> FinishStream() override { co_return true; }
  void Abort() override {}
  bool HasStarted() const override { return false; }
  void OnPeerGone(std::function<void()>) override {}
  bool IsPeerGone() override { return false; }

  http::ResponseHead head;
};

//! A host of one region; its calls go to the servers that a test announces and
//! to the neighbours that it adds.
class PathGatewayTest : public testing::Test {
 protected:
  explicit PathGatewayTest(std::unique_ptr<const PathProtocol> protocol,
                           SchedulingSettings scheduling = {})
      : settings(MakeSettings(scheduling)), protocol(std::move(protocol)) {}

  void TearDown() override { this->threads.Stop(); }

  void AddRoute(const std::string& name,
                state::PathKind kind,
                bool resumable = false) {
    state::PathRoute route;
    route.name = RouteName(name);
    route.authority = "h";
    route.prefix = "/" + name + "/";
    route.kind = kind;
    route.resumable = resumable;
    route.open = true;
    route.timeout = std::chrono::milliseconds(3'000);
    route.most_tries = 2;
    route.services = {{state::ServiceName("service"), 1}};
    route.residency = state::ResidencyRuleName("here");
    this->set.residency_rules[route.residency] = {route.residency,
                                                  {this->settings.region}};
    this->set.path_routes[route.name] = route;
    this->Publish();
  }

  //! Announces a server, or that it leaves.
  void AddServer(const std::string& name,
                 std::uint16_t port,
                 bool is_leaving = false) {
    policy::ServerReport report;
    report.name = BackendServerName(name);
    report.region = this->settings.region;
    report.address = "127.0.0.1";
    report.port = port;
    report.targets = {"service"};
    report.slots = 8;
    report.leaving = is_leaving;
    this->servers.Announce(report);
  }

  void AddNeighbour(const std::string& name, std::uint16_t port) {
    state::HostRecord host;
    host.name = HostName(name);
    host.region = this->settings.region;
    host.caller_port = 1;
    this->hosts[host.name] = host;
    this->regions.hosts.push_back(
        {host.name, host.region, Local(port), Duration::zero()});
    this->Publish();
  }

  void Publish() {
    auto snapshot = std::make_shared<state::Snapshot>();
    snapshot->set_number = 1;
    snapshot->ready = true;
    snapshot->set = std::make_shared<const state::ConfigurationSet>(this->set);
    snapshot->paths = std::make_shared<const state::PathIndex>(this->set);
    snapshot->hosts =
        std::make_shared<const std::map<HostName, state::HostRecord>>(
            this->hosts);
    for (const auto& [name, host] : this->hosts) {
      snapshot->live.insert(name);
    }
    snapshot->keys_fresh_until = TimePoint::max();
    this->snapshots.Set(std::move(snapshot));
  }

  //! Serves one call, as one that another host forwarded if `is_forwarded`.
  http::ResponseHead Serve(const std::string& target,
                           bool is_forwarded = false) {
    return this->ServeCall(
        this->MakeCall(target),
        is_forwarded ? std::optional(ForwardedCall()) : std::nullopt);
  }

  //! Returns a call with an id of its own.
  PathCall MakeCall(const std::string& target) {
    PathCall call;
    call.id = "call-" + std::to_string(this->next_call++);
    call.authority = "h";
    call.method = "GET";
    call.target = target;
    return call;
  }

  //! Serves a call, as one that another host forwarded if `origin` is set.
  http::ResponseHead ServeCall(PathCall call,
                               std::optional<ForwardedCall> origin) {
    KeptResponse writer;
    auto served = origin ? this->gateway.ServeForwarded(
                               std::move(call), std::move(*origin), writer)
                         : this->gateway.Serve(std::move(call), writer);
    http::asio::co_spawn(*this->threads.All().front(), std::move(served),
                         http::asio::use_future)
        .get();
    return writer.head;
  }

  //! Returns a port on which connections are refused.
  std::uint16_t UnusedPort() {
    http::asio::io_context context;
    http::asio::ip::tcp::acceptor acceptor(
        context, {http::asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
  }

  //! Sends calls until the host has noticed that it reaches no server.
  void LoseLinks() {
    for (int i = 0; i < 100 && !this->servers.LinksAreDown(); ++i) {
      this->Serve("/safe/1");
      this->Probe();
    }
    ASSERT_TRUE(this->servers.LinksAreDown());
  }

  static GatewaySettings MakeSettings(SchedulingSettings scheduling) {
    GatewaySettings made;
    made.host = HostName("m-1");
    made.region = RegionName("muscat");
    made.scheduling = scheduling;
    return made;
  }

  void Probe() {
    this->prober.Tick();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }

  http::IoThreads threads{1};
  SteadyClock clock;
  Metrics metrics;
  SpanFile spans{""};
  SnapshotHolder snapshots;
  GatewaySettings settings;
  ServerDirectory servers{settings.region, {}, clock, 1};
  OpenBudget budget;
  FixedHosts regions;
  BlockQuarantine quarantine{clock, metrics};
  StreamOrigins streams{clock};
  LinkProber prober{*threads.All().front(), servers};
  std::unique_ptr<const PathProtocol> protocol;
  PathGateway gateway{{{threads, clock, clock, metrics, spans, snapshots,
                        servers, budget, regions, quarantine, streams},
                       *protocol},
                      settings};
  state::ConfigurationSet set;
  std::map<HostName, state::HostRecord> hosts;
  int next_call = 0;
};

}  // namespace tamarackwing::gateway
