#include "daemon.h"

#include <atomic>
#include <thread>
#include <utility>

#include "local_control.h"
#include "tamarackwing/backend_servers/announcement_listener.h"
#include "tamarackwing/base/metrics.h"
#include "tamarackwing/base/span.h"
#include "tamarackwing/callers/caller_listener.h"
#include "tamarackwing/gateway.h"
#include "tamarackwing/http/io_threads.h"
#include "tamarackwing/http/server.h"

namespace tamarackwing::daemon {
namespace {

constexpr std::chrono::milliseconds kTick{20};
constexpr std::chrono::milliseconds kDrainPoll{10};

}  // namespace

struct Daemon::Parts {
  explicit Parts(Settings given)
      : settings(std::move(given)),
        threads(settings.traffic_threads),
        spans(settings.span_file),
        servers(settings.gateway.region,
                settings.servers,
                clock,
                std::hash<std::string>{}(settings.gateway.host.Text())),
        gate(settings.gateway.queue_capacity),
        budget(clock, snapshots),
        gateway({threads, clock, metrics, spans, snapshots, servers, gate,
                 active, budget, permits, regions},
                settings.gateway),
        caller_listener(gateway),
        announcement_listener(servers),
        callers(threads, caller_listener, settings.limits),
        backend_servers(threads, announcement_listener, settings.limits) {}

  void Tick() {
    this->servers.Expire();
    this->gate.Expire(this->clock.Now());
    const auto snapshot = this->snapshots.Get();
    if (!snapshot->set) {
      return;
    }
    for (const auto& [name, route] : snapshot->set->routes) {
      const std::string target = route.kind == state::RouteKind::kModel
                                     ? route.model_version.Text()
                                     : name.Text();
      this->gate.SetSlots(target, this->servers.Slots(target));
    }
  }

  Settings settings;
  SteadyClock clock;
  Metrics metrics;
  http::IoThreads threads;
  SpanFile spans;
  gateway::SnapshotHolder snapshots;
  gateway::ServerDirectory servers;
  gateway::AdmissionGate gate;
  gateway::ActiveRequests active;
  LocalBudget budget;
  NoPermits permits;
  NoRegions regions;
  gateway::Gateway gateway;
  callers::CallerListener caller_listener;
  backend_servers::AnnouncementListener announcement_listener;
  http::Server callers;
  http::Server backend_servers;
  std::atomic<bool> stopping{false};
  std::thread ticker;
};

Daemon::Daemon(Settings settings)
    : parts(std::make_unique<Parts>(std::move(settings))) {}

Daemon::~Daemon() {
  this->parts->stopping.store(true);
  if (this->parts->ticker.joinable()) {
    this->parts->ticker.join();
  }
  this->parts->threads.Stop();
}

Expected<void, StartError> Daemon::Start() {
  Parts& parts = *this->parts;
  if (!parts.backend_servers.Listen(parts.settings.backend_servers)) {
    return unexpected(StartError::kBackendServersListener);
  }
  if (!parts.callers.Listen(parts.settings.callers)) {
    return unexpected(StartError::kCallersListener);
  }
  parts.ticker = std::thread([&parts] {
    while (!parts.stopping.load()) {
      parts.Tick();
      std::this_thread::sleep_for(kTick);
    }
  });
  LogEvent(Event::kHostStarted, LogLevel::kInfo,
           {{"host", parts.settings.gateway.host.Text()}});
  return {};
}

void Daemon::Apply(state::ConfigurationSet set) {
  auto snapshot = std::make_shared<state::Snapshot>();
  snapshot->set =
      std::make_shared<const state::ConfigurationSet>(std::move(set));
  snapshot->withdrawn = std::make_shared<const std::set<KeyDigest>>();
  snapshot->keys_fresh_until = TimePoint::max();
  snapshot->ready = true;
  for (const state::HostRecord& host : this->parts->settings.hosts) {
    snapshot->hosts[host.name] = host;
  }
  snapshot->live.insert(this->parts->settings.gateway.host);
  this->parts->snapshots.Set(std::move(snapshot));
}

bool Daemon::Drain() {
  Parts& parts = *this->parts;
  LogEvent(Event::kDrainStarted, LogLevel::kInfo,
           {{"host", parts.settings.gateway.host.Text()}});
  parts.gateway.StartDrain();
  const TimePoint until = parts.clock.Now() + parts.settings.drain_limit;
  while (parts.gateway.UnderWay() > 0 && parts.clock.Now() < until) {
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
