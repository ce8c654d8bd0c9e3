#include "daemon.h"

#include <filesystem>
#include <thread>
#include <utility>

#include "budget_desk.h"
#include "control_thread.h"
#include "region_table.h"
#include "tamarackwing/backend_servers/announcement_listener.h"
#include "tamarackwing/base/metrics.h"
#include "tamarackwing/base/span.h"
#include "tamarackwing/callers/caller_listener.h"
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
  Parts(Settings given, bool founds_log)
      : settings(std::move(given)),
        disk(OpenDisk(settings)),
        threads(settings.traffic_threads),
        spans(settings.span_file),
        servers(settings.gateway.region,
                settings.servers,
                clock,
                std::hash<std::string>{}(settings.gateway.host.Text())),
        gate(settings.gateway.queue_capacity),
        budget(clock, settings.times.chunk_life, settings.open_rate),
        regions(clock),
        control(
            settings,
            {clock, metrics, snapshots, servers, gate, active, budget, regions},
            disk.get(),
            founds_log),
        gateway({threads, clock, metrics, spans, snapshots, servers, gate,
                 active, budget, control, regions},
                settings.gateway),
        caller_listener(gateway),
        forward_listener(gateway),
        announcement_listener(servers),
        operator_listener(control, settings.operator_token_digest),
        callers(threads, caller_listener, settings.limits),
        forwarded(threads, forward_listener, settings.limits),
        backend_servers(threads, announcement_listener, settings.limits),
        operators(threads, operator_listener, settings.limits) {}

  Settings settings;
  SteadyClock clock;
  Metrics metrics;
  std::unique_ptr<state::Disk> disk;
  http::IoThreads threads;
  SpanFile spans;
  gateway::SnapshotHolder snapshots;
  gateway::ServerDirectory servers;
  gateway::AdmissionGate gate;
  gateway::ActiveRequests active;
  BudgetDesk budget;
  RegionTable regions;
  ControlThread control;
  gateway::Gateway gateway;
  callers::CallerListener caller_listener;
  gateway::ForwardListener forward_listener;
  backend_servers::AnnouncementListener announcement_listener;
  operators::OperatorListener operator_listener;
  http::Server callers;
  http::Server forwarded;
  http::Server backend_servers;
  http::Server operators;
};

std::string_view StartErrorName(StartError error) {
  switch (error) {
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
    case StartError::kOperatorsListener:
      return "operators_listener";
    case StartError::kPeersListener:
      return "peers_listener";
  }
  return "unknown";
}

Daemon::Daemon(Settings settings, bool founds_log)
    : parts(std::make_unique<Parts>(std::move(settings), founds_log)) {}

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
  if (!parts.operators.Listen(parts.settings.operators)) {
    return unexpected(StartError::kOperatorsListener);
  }
  if (!parts.backend_servers.Listen(parts.settings.backend_servers)) {
    return unexpected(StartError::kBackendServersListener);
  }
  if (!parts.forwarded.Listen(ForwardEndpoint(parts.settings))) {
    return unexpected(StartError::kForwardListener);
  }
  if (!parts.callers.Listen(parts.settings.callers)) {
    return unexpected(StartError::kCallersListener);
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

bool Daemon::Drain() {
  Parts& parts = *this->parts;
  LogEvent(Event::kDrainStarted, LogLevel::kInfo,
           {{"host", parts.settings.gateway.host.Text()}});
  parts.gateway.StartDrain();
  parts.control.StartDrain();
  const TimePoint started = parts.clock.Now();
  const TimePoint until = started + parts.settings.drain_limit;
  const auto is_done = [&] {
    return parts.gateway.UnderWay() == 0 && parts.control.IsQuiet() &&
           parts.clock.Now() - started >= kDrainNotice;
  };
  while (!is_done() && parts.clock.Now() < until) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  const bool all_ended = parts.gateway.UnderWay() == 0;
  parts.callers.StopAccepting();
  LogEvent(Event::kHostStopped, LogLevel::kInfo,
           {{"host", parts.settings.gateway.host.Text()},
            {"cut", std::to_string(parts.gateway.UnderWay())}});
  return all_ended;
}

}  // namespace tamarackwing::daemon
