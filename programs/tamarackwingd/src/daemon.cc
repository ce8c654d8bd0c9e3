#include "daemon.h"

#include <algorithm>
#include <filesystem>
#include <thread>
#include <utility>

#include "adapter.h"
#include "chunk_budget.h"
#include "control_thread.h"
#include "leased_rate_budget.h"
#include "metrics_listener.h"
#include "region_table.h"
#include "tamarackwing/backend_servers/announcement_listener.h"
#include "tamarackwing/base/metrics.h"
#include "tamarackwing/base/span.h"
#include "tamarackwing/callers/caller_listener.h"
#include "tamarackwing/callers/refusal_response.h"
#include "tamarackwing/gateway.h"
#include "tamarackwing/gateway/forward_listener.h"
#include "tamarackwing/http/io_threads.h"
#include "tamarackwing/http/server.h"
#include "tamarackwing/operators/operator_listener.h"
#include "tamarackwing/state/posix_disk.h"

namespace tamarackwing::daemon {
namespace {

constexpr std::chrono::milliseconds kDrainPoll{10};
//! What a draining host waits for, so that all have heard of it.
constexpr std::chrono::milliseconds kDrainNotice{600};

std::unique_ptr<state::Disk> OpenDisk(const Settings& settings) {
  if (settings.data_folder.empty()) {
    return nullptr;
  }
  std::error_code ignored;
  std::filesystem::create_directories(settings.data_folder, ignored);
  return std::make_unique<state::PosixDisk>(settings.data_folder);
}

StartError ToStartError(ControlError error) {
  switch (error) {
    case ControlError::kCannotListen:
      return StartError::kPeersListener;
    case ControlError::kJournalDamaged:
      return StartError::kJournalDamaged;
    case ControlError::kDiskFailed:
      return StartError::kDiskFailed;
  }
  return StartError::kDiskFailed;
}

//! Stands where a host has no adapter: nothing asks it.
class NoProtocol final : public gateway::PathProtocol {
 public:
  http::Request EncodeRequest(const gateway::PathCall&,
                              const gateway::SendContext&) const override {
    return {};
  }
  gateway::PathResponse ReadResponse(const gateway::PathCall&,
                                     const http::ResponseHead&) const override {
    return {};
  }
  http::Response EncodeRefusal(const Refusal& refusal) const override {
    return callers::MakeRefusalResponse(refusal);
  }
};

//! Opens a listener where the settings name a place for it.
bool ListenWhere(http::Server& server, const http::Endpoint& endpoint) {
  return endpoint.port == 0 || server.Listen(endpoint).has_value();
}

http::Endpoint ForwardEndpoint(const Settings& settings) {
  for (const state::HostRecord& host : settings.hosts) {
    if (host.name == settings.gateway.host) {
      return {host.peer_address, host.forward_port};
    }
  }
  return {};
}

}  // namespace

struct Daemon::Parts {
  Parts(Settings given, bool bootstraps_log, Adapter* adapter)
      : settings(std::move(given)),
        protocol(adapter == nullptr ? no_protocol : adapter->Protocol()),
        disk(OpenDisk(settings)),
        threads(settings.traffic_threads),
        spans(settings.span_file),
        servers(settings.gateway.region,
                settings.servers,
                freshness_clock,
                std::hash<std::string>{}(settings.gateway.host.Text())),
        gate(settings.gateway.queue_capacity),
        budget(freshness_clock, settings.times.chunk_life, settings.open_rate),
        rates(freshness_clock,
              snapshots,
              policy::RateLeaseOptions(),
              settings.rate_tolerance),
        regions(freshness_clock, settings.servers.prefill_rate),
        control(settings,
                {freshness_clock, clock, metrics, snapshots, servers, gate,
                 active, budget, rates, regions},
                disk.get(),
                bootstraps_log),
        gateway({TrafficWith(budget), gate, active, control}, settings.gateway),
        path_gateway({TrafficWith(rates), protocol}, settings.gateway),
        caller_listener(gateway),
        forward_listener(gateway),
        announcement_listener(servers),
        operator_listener(control, settings.operator_token_digest),
        callers(threads, caller_listener, settings.limits),
        forwarded(threads, forward_listener, settings.limits),
        backend_servers(threads, announcement_listener, settings.limits),
        operators(threads, operator_listener, settings.limits),
        metrics_listener(metrics),
        metrics_server(threads, metrics_listener, settings.limits) {
    if (adapter != nullptr) {
      adapter_listeners =
          adapter->MakeListeners({path_gateway, control, control,
                                  freshness_clock, settings.data_centres});
    }
  }

  //! What both gateways share, with the budgets that one goes by.
  gateway::TrafficDependencies TrafficWith(gateway::TokenBudget& budgets) {
    return {threads,   clock,   freshness_clock, metrics, spans,
            snapshots, servers, budgets,         regions};
  }

  //! Opens a listener where there is one to open.
  bool Open(http::Handler* handler, const http::Endpoint& endpoint) {
    if (handler == nullptr || endpoint.port == 0) {
      return true;
    }
    adapter_servers.push_back(
        std::make_unique<http::Server>(threads, *handler, settings.limits));
    return adapter_servers.back()->Listen(endpoint).has_value();
  }

  Settings settings;
  SteadyClock clock;
  BootClock freshness_clock;
  NoProtocol no_protocol;
  const gateway::PathProtocol& protocol;
  Metrics metrics;
  std::unique_ptr<state::Disk> disk;
  http::IoThreads threads;
  SpanFile spans;
  gateway::SnapshotHolder snapshots;
  gateway::ServerDirectory servers;
  gateway::AdmissionGate gate;
  gateway::ActiveRequests active;
  ChunkBudget budget;
  LeasedRateBudget rates;
  RegionTable regions;
  ControlThread control;
  gateway::Gateway gateway;
  gateway::PathGateway path_gateway;
  callers::CallerListener caller_listener;
  gateway::ForwardListener forward_listener;
  backend_servers::AnnouncementListener announcement_listener;
  operators::OperatorListener operator_listener;
  http::Server callers;
  http::Server forwarded;
  http::Server backend_servers;
  http::Server operators;
  MetricsListener metrics_listener;
  http::Server metrics_server;
  AdapterListeners adapter_listeners;
  std::vector<std::unique_ptr<http::Server>> adapter_servers;
};

std::string_view StartErrorName(StartError error) {
  switch (error) {
    case StartError::kAdapterListener:
      return "adapter_listener";
    case StartError::kBackendServersListener:
      return "backend_servers_listener";
    case StartError::kCallersListener:
      return "callers_listener";
    case StartError::kDiskFailed:
      return "disk_failed";
    case StartError::kForwardListener:
      return "forward_listener";
    case StartError::kJournalDamaged:
      return "journal_damaged";
    case StartError::kMetricsListener:
      return "metrics_listener";
    case StartError::kOperatorsListener:
      return "operators_listener";
    case StartError::kPeersListener:
      return "peers_listener";
  }
  return "unknown";
}

Daemon::Daemon(Settings settings, bool bootstraps_log, Adapter* adapter)
    : parts(std::make_unique<Parts>(std::move(settings),
                                    bootstraps_log,
                                    adapter)) {}

Daemon::~Daemon() {
  // Traffic ends first: it posts to the control thread.
  this->parts->threads.Stop();
  this->parts->control.Stop();
}

Expected<void, StartError> Daemon::Start() {
  Parts& parts = *this->parts;
  const auto started = parts.control.Start();
  if (!started) {
    return unexpected(ToStartError(started.error()));
  }
  const Settings& settings = parts.settings;
  if (!ListenWhere(parts.operators, settings.operators)) {
    return unexpected(StartError::kOperatorsListener);
  }
  if (!ListenWhere(parts.metrics_server, settings.metrics)) {
    return unexpected(StartError::kMetricsListener);
  }
  if (!ListenWhere(parts.backend_servers, settings.backend_servers)) {
    return unexpected(StartError::kBackendServersListener);
  }
  if (settings.callers.port != 0 &&
      !parts.forwarded.Listen(ForwardEndpoint(settings))) {
    return unexpected(StartError::kForwardListener);
  }
  if (!ListenWhere(parts.callers, settings.callers)) {
    return unexpected(StartError::kCallersListener);
  }
  const AdapterListeners& adapter = parts.adapter_listeners;
  const AdapterEndpoints& places = settings.adapter;
  const http::Endpoint forwarded =
      places.callers.port == 0 ? http::Endpoint() : ForwardEndpoint(settings);
  const bool is_open = parts.Open(adapter.control.get(), places.control) &&
                       parts.Open(adapter.directory.get(), places.directory) &&
                       parts.Open(adapter.forwarded.get(), forwarded) &&
                       parts.Open(adapter.readiness.get(), places.readiness) &&
                       parts.Open(adapter.callers.get(), places.callers);
  if (!is_open) {
    return unexpected(StartError::kAdapterListener);
  }
  LogEvent(Event::kHostStarted, LogLevel::kInfo,
           {{"host", parts.settings.gateway.host.Text()}});
  return {};
}

operators::OperatorService& Daemon::Operators() {
  return this->parts->control;
}

DaemonState Daemon::Poll() {
  if (this->parts->control.IsToldToDrain()) {
    this->parts->gateway.StartDrain();
  }
  return this->parts->control.HasFailed() ? DaemonState::kDiskFailed
                                          : DaemonState::kServing;
}

void Daemon::TakeSettings(const Settings& next) {
  Parts& parts = *this->parts;
  SetLogLevel(next.log_level);
  parts.settings.drain_limit = next.drain_limit;
  parts.settings.drain_serves = next.drain_serves;
  parts.servers.SetLimits(next.servers);
  parts.regions.SetPrefillRate(next.servers.prefill_rate);
  parts.rates.SetTolerance(next.rate_tolerance);
  parts.control.TakeSettings(next);
}

bool Daemon::Drain() {
  Parts& parts = *this->parts;
  LogEvent(Event::kDrainStarted, LogLevel::kInfo,
           {{"host", parts.settings.gateway.host.Text()}});
  const TimePoint started = parts.clock.Now();
  const TimePoint until = started + parts.settings.drain_limit;
  const TimePoint refuse_at = started + parts.settings.drain_serves;
  parts.gateway.StartDrain();
  parts.path_gateway.StartDrain(refuse_at);
  parts.control.StartDrain();
  const auto under_way = [&] {
    return parts.gateway.InFlight() + parts.path_gateway.InFlight();
  };
  const auto is_done = [&] {
    return parts.clock.Now() >= refuse_at && under_way() == 0 &&
           parts.control.IsQuiet() &&
           parts.clock.Now() - started >= kDrainNotice;
  };
  for (const auto& server : parts.adapter_servers) {
    server->StopKeepingAlive();
  }
  while (!is_done() && parts.clock.Now() < until) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  const bool all_ended = under_way() == 0;
  parts.callers.StopAccepting();
  for (const auto& server : parts.adapter_servers) {
    server->StopAccepting();
  }
  LogEvent(Event::kHostStopped, LogLevel::kInfo,
           {{"host", parts.settings.gateway.host.Text()},
            {"cut", std::to_string(under_way())}});
  return all_ended;
}

}  // namespace tamarackwing::daemon
