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
#include "tamarackwing/gateway/block_quarantine.h"
#include "tamarackwing/gateway/forward_listener.h"
#include "tamarackwing/gateway/stream_origins.h"
#include "tamarackwing/http/io_threads.h"
#include "tamarackwing/http/server.h"
#include "tamarackwing/operators/operator_listener.h"
#include "tamarackwing/state/posix_disk.h"

namespace tamarackwing::daemon {
namespace {

constexpr std::chrono::milliseconds kDrainPollInterval{10};
//! Min time that a draining host keeps running, so that all hosts learn that it
//! drains.
constexpr std::chrono::milliseconds kMinDrain{600};

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

//! Null object for a host without an adapter; its methods are never called.
class NullProtocol final : public gateway::PathProtocol {
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

//! Opens a listener if the settings have a port for it; returns false if that
//! fails.
bool ListenIfSet(http::Server& server, const http::Endpoint& endpoint) {
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

RegionTable MakeRegionTable(const Settings& settings, const Clock& clock) {
  const double prefill_rate = settings.servers.prefill_rate;
  const gateway::SchedulingSettings& scheduling = settings.gateway.scheduling;
  if (!scheduling.spill_ahead) {
    return {clock, prefill_rate};
  }
  return {clock,
          prefill_rate,
          {settings.gateway.region,
           {scheduling.prefill_tokens_per_s, settings.servers.decode_rate}}};
}

}  // namespace

struct Daemon::Impl {
  Impl(Settings given, bool bootstraps_log, Adapter* adapter)
      : settings(std::move(given)),
        protocol(adapter == nullptr ? null_protocol : adapter->Protocol()),
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
        regions(MakeRegionTable(settings, freshness_clock)),
        quarantine(freshness_clock, metrics),
        streams(freshness_clock),
        prober(*threads.All().front(), servers),
        control(settings,
                {freshness_clock, clock, metrics, snapshots, servers, gate,
                 active, budget, rates, regions, quarantine, streams, prober},
                disk.get(),
                bootstraps_log),
        gateway({MakeTrafficDependencies(budget), gate, active, control},
                settings.gateway),
        path_gateway({MakeTrafficDependencies(rates), protocol},
                     settings.gateway),
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
      adapter_listeners = adapter->MakeListeners(
          {path_gateway, control, control, freshness_clock,
           settings.data_centres, settings.adapter.control.port});
    }
  }

  //! Returns the dependencies that both gateways share, with the token budget
  //! of one of them.
  gateway::TrafficDependencies MakeTrafficDependencies(
      gateway::TokenBudget& token_budget) {
    return {threads, clock,      freshness_clock, metrics,
            spans,   snapshots,  servers,         token_budget,
            regions, quarantine, streams};
  }

  //! Opens an adapter listener if it has a handler and a port; returns false if
  //! that fails.
  bool OpenListener(http::Handler* handler, const http::Endpoint& endpoint) {
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
  NullProtocol null_protocol;
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
  gateway::BlockQuarantine quarantine;
  gateway::StreamOrigins streams;
  gateway::LinkProber prober;
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
    : impl(std::make_unique<Impl>(std::move(settings),
                                  bootstraps_log,
                                  adapter)) {}

Daemon::~Daemon() {
  // The traffic threads are stopped first, because they post to the control
  // thread.
  this->impl->threads.Stop();
  this->impl->control.Stop();
}

Expected<void, StartError> Daemon::Start() {
  Impl& impl = *this->impl;
  const auto started = impl.control.Start();
  if (!started) {
    return unexpected(ToStartError(started.error()));
  }
  const Settings& settings = impl.settings;
  if (!ListenIfSet(impl.operators, settings.operators)) {
    return unexpected(StartError::kOperatorsListener);
  }
  if (!ListenIfSet(impl.metrics_server, settings.metrics)) {
    return unexpected(StartError::kMetricsListener);
  }
  if (!ListenIfSet(impl.backend_servers, settings.backend_servers)) {
    return unexpected(StartError::kBackendServersListener);
  }
  if (settings.callers.port != 0 &&
      !impl.forwarded.Listen(ForwardEndpoint(settings))) {
    return unexpected(StartError::kForwardListener);
  }
  if (!ListenIfSet(impl.callers, settings.callers)) {
    return unexpected(StartError::kCallersListener);
  }
  const AdapterListeners& adapter = impl.adapter_listeners;
  const AdapterEndpoints& endpoints = settings.adapter;
  const http::Endpoint forwarded = endpoints.callers.port == 0
                                       ? http::Endpoint()
                                       : ForwardEndpoint(settings);
  const bool is_open =
      impl.OpenListener(adapter.control.get(), endpoints.control) &&
      impl.OpenListener(adapter.directory.get(), endpoints.directory) &&
      impl.OpenListener(adapter.forwarded.get(), forwarded) &&
      impl.OpenListener(adapter.readiness.get(), endpoints.readiness) &&
      impl.OpenListener(adapter.callers.get(), endpoints.callers);
  if (!is_open) {
    return unexpected(StartError::kAdapterListener);
  }
  LogEvent(Event::kHostStarted, LogLevel::kInfo,
           {{"host", impl.settings.gateway.host.Text()}});
  return {};
}

operators::OperatorService& Daemon::Operators() {
  return this->impl->control;
}

DaemonState Daemon::Poll() {
  if (this->impl->control.IsDrainRequested()) {
    this->impl->gateway.StartDrain();
  }
  return this->impl->control.HasFailed() ? DaemonState::kDiskFailed
                                         : DaemonState::kServing;
}

void Daemon::ApplySettings(const Settings& next) {
  Impl& impl = *this->impl;
  SetLogLevel(next.log_level);
  impl.settings.drain_limit = next.drain_limit;
  impl.settings.drain_serves = next.drain_serves;
  impl.servers.SetLimits(next.servers);
  impl.regions.SetPrefillRate(next.servers.prefill_rate);
  impl.rates.SetTolerance(next.rate_tolerance);
  impl.control.ApplySettings(next);
}

bool Daemon::Drain() {
  Impl& impl = *this->impl;
  LogEvent(Event::kDrainStarted, LogLevel::kInfo,
           {{"host", impl.settings.gateway.host.Text()}});
  const TimePoint started = impl.clock.Now();
  const TimePoint until = started + impl.settings.drain_limit;
  const TimePoint refuse_at = started + impl.settings.drain_serves;
  impl.gateway.StartDrain();
  impl.path_gateway.StartDrain(refuse_at);
  impl.control.StartDrain();
  const auto in_flight = [&] {
    return impl.gateway.InFlight() + impl.path_gateway.InFlight();
  };
  const auto is_done = [&] {
    return impl.clock.Now() >= refuse_at && in_flight() == 0 &&
           impl.control.UpdatesAcknowledged() &&
           impl.clock.Now() - started >= kMinDrain;
  };
  for (const auto& server : impl.adapter_servers) {
    server->StopKeepingAlive();
  }
  while (!is_done() && impl.clock.Now() < until) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  const bool all_ended = in_flight() == 0;
  impl.callers.StopAccepting();
  for (const auto& server : impl.adapter_servers) {
    server->StopAccepting();
  }
  LogEvent(Event::kHostStopped, LogLevel::kInfo,
           {{"host", impl.settings.gateway.host.Text()},
            {"cut", std::to_string(in_flight())}});
  return all_ended;
}

}  // namespace tamarackwing::daemon
