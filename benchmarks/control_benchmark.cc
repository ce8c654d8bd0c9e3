//! Benchmarks behind the estimates in docs/CAPACITY.md: memory and time of the
//! control state by number of workspaces, and the leader's time for status
//! reports by number of hosts.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "tamarackwing/base/digest.h"
#include "tamarackwing/base/random_source.h"
#include "tamarackwing/control.h"

namespace tamarackwing::control {
namespace {

using state::ControlState;

std::size_t HeapBytes() {
  return ::mallinfo2().uordblks;
}

state::ConfigurationSet LargeSet(std::int64_t workspaces) {
  state::ConfigurationSet set;
  const state::ResidencyRuleName rule("rule");
  set.residency_rules[rule] = {rule, {RegionName("muscat")}};
  for (std::int64_t i = 0; i < workspaces; ++i) {
    state::Workspace workspace;
    workspace.name = WorkspaceName("workspace-" + std::to_string(i));
    workspace.rate = 1'000;
    workspace.burst = 10'000;
    workspace.home_regions = {RegionName("muscat")};
    workspace.residency = rule;
    const KeyDigest digest = DigestKey(workspace.name.Text());
    set.keys[digest] = {digest, workspace.name, workspace.home_regions};
    set.workspaces[workspace.name] = std::move(workspace);
  }
  return set;
}

ControlState LargeState(std::int64_t workspaces) {
  ControlState control;
  state::HostRecord host;
  host.name = HostName("muscat-1");
  host.region = RegionName("muscat");
  control.Apply(1, state::EncodeChange(state::PutHost{host}));
  const state::PublishSet publish{PublishId("first"), 0,
                                  state::DiffSets({}, LargeSet(workspaces))};
  control.Apply(2, state::EncodeChange(publish));
  return control;
}

void ControlStateMemory(benchmark::State& state) {
  for (auto _ : state) {
    const std::size_t before = HeapBytes();
    const ControlState control = LargeState(state.range(0));
    state.counters["bytes"] = static_cast<double>(HeapBytes() - before);
    state.counters["bytes_a_workspace"] =
        static_cast<double>(HeapBytes() - before) /
        static_cast<double>(state.range(0));
  }
}
BENCHMARK(ControlStateMemory)
    ->Arg(5'000)
    ->Arg(15'000)
    ->Arg(45'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

//! Changes and confirms one workspace; each change validates and copies the
//! complete set.
void ApplyOneChange(benchmark::State& state) {
  ControlState control = LargeState(state.range(0));
  TokenCount rate = 1;
  LogIndex index = control.Applied();
  std::size_t payload = 0;
  for (auto _ : state) {
    state::PublishSet publish;
    publish.id = PublishId(std::to_string(index));
    publish.base = control.Version();
    publish.delta.workspaces.push_back(
        control.Set()->workspaces.begin()->second);
    publish.delta.workspaces.front().rate = ++rate;
    const std::string bytes = state::EncodeChange(publish);
    payload = bytes.size();
    control.Apply(++index, bytes);
    control.Apply(
        ++index, state::EncodeChange(state::ConfirmVersion{control.Version()}));
  }
  state.counters["payload_bytes"] = static_cast<double>(payload);
}
BENCHMARK(ApplyOneChange)
    ->Arg(5)
    ->Arg(5'000)
    ->Arg(45'000)
    ->Unit(benchmark::kMillisecond);

void EncodeSnapshot(benchmark::State& state) {
  const ControlState control = LargeState(state.range(0));
  std::size_t bytes = 0;
  for (auto _ : state) {
    bytes = control.Encode().size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(EncodeSnapshot)
    ->Arg(5'000)
    ->Arg(45'000)
    ->Unit(benchmark::kMillisecond);

//! Measures a leader that receives the statuses of all hosts in one feed
//! request and then runs its periodic tasks.
void LeaderReceivesStatuses(benchmark::State& state) {
  SeededRandom random(1);
  ControlOptions options;
  options.self.name = HostName("muscat-1");
  options.self.region = RegionName("muscat");
  options.self.has_disk = true;
  options.self.incarnation = 1;
  options.seeds = {options.self};
  options.initial_voters = {options.self.name};
  TimePoint now{std::chrono::hours(1)};
  ControlNode node(options, {}, random, now);
  const auto persist = [&](ControlEffects effects) {
    std::vector<state::LogBatch> batches = std::move(effects.log_batches);
    while (!batches.empty()) {
      ControlEffects next_effects =
          node.LogPersisted(batches.back().ticket, now);
      batches = std::move(next_effects.log_batches);
    }
  };
  FeedRequest request;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    HostStatus status;
    status.record.name = HostName("host-" + std::to_string(i));
    status.record.region = RegionName("region-" + std::to_string(i % 16));
    status.record.incarnation = 1;
    request.statuses.push_back(status);
  }
  const auto step = [&] {
    now += std::chrono::milliseconds(300);
    persist(node.Receive(HostName("host-0"), request, now));
    persist(node.Tick(now));
  };
  for (int i = 0; i < 200; ++i) {
    step();
  }
  for (auto _ : state) {
    step();
  }
}
BENCHMARK(LeaderReceivesStatuses)
    ->Arg(8)
    ->Arg(90)
    ->Arg(360)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace tamarackwing::control
