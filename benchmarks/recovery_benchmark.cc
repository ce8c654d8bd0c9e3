//! Benchmarks of recovery time by log length, with and without a snapshot, and
//! of a synced log write on the disk that holds the temporary folder.

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <filesystem>

#include "tamarackwing/state.h"

namespace tamarackwing::state {
namespace {

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "tamarackwing-XXXXXX")
            .string();
    this->path = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(this->path, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& Path() const { return this->path; }

 private:
  std::string path;
};

std::string Change(LogIndex number) {
  Workspace workspace;
  workspace.name = WorkspaceName("w" + std::to_string(number % 1'000));
  workspace.rate = static_cast<TokenCount>(number);
  workspace.burst = 10;
  PublishSet publish;
  publish.id = PublishId(std::to_string(number));
  publish.delta.workspaces.push_back(workspace);
  return EncodeChange(publish);
}

LogBatch Batch(LogIndex from, LogIndex to) {
  LogBatch batch;
  for (LogIndex i = from; i <= to; ++i) {
    LogEntry entry;
    entry.index = i;
    entry.term = 1;
    entry.kind = EntryKind::kChange;
    entry.payload = Change(i);
    batch.entries.push_back(std::move(entry));
  }
  batch.commit = to;
  return batch;
}

//! Reads the store and applies every entry, as a host does when it starts.
std::size_t Recover(PosixDisk& disk) {
  LogStore store(disk);
  const auto log = store.Recover();
  auto control = ControlState::Decode(log->snapshot.state);
  for (const LogEntry& entry : log->entries) {
    control->Apply(entry.index, entry.payload);
  }
  return log->entries.size();
}

void RecoveryFromLog(benchmark::State& state) {
  const TemporaryFolder folder;
  PosixDisk disk(folder.Path());
  LogStore store(disk);
  static_cast<void>(store.Recover());
  const auto changes = static_cast<LogIndex>(state.range(0));
  static_cast<void>(store.Write(Batch(1, changes)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(Recover(disk));
  }
}
BENCHMARK(RecoveryFromLog)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond);

//! Leaves 4,096 entries in the log after the snapshot, as many as a host
//! accumulates before it compacts the log.
void RecoveryWithSnapshot(benchmark::State& state) {
  constexpr LogIndex kTail = 4'096;
  const TemporaryFolder folder;
  PosixDisk disk(folder.Path());
  LogStore store(disk);
  static_cast<void>(store.Recover());
  const auto changes = static_cast<LogIndex>(state.range(0));
  ControlState control;
  for (LogIndex i = 1; i <= changes - kTail; ++i) {
    control.Apply(i, Change(i));
  }
  LogBatch snapshot;
  snapshot.snapshot = LogSnapshot{changes - kTail, 1, {}, control.Encode()};
  static_cast<void>(store.Write(snapshot));
  static_cast<void>(store.Write(Batch(changes - kTail + 1, changes)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(Recover(disk));
  }
}
BENCHMARK(RecoveryWithSnapshot)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond);

void SyncedWrite(benchmark::State& state) {
  const TemporaryFolder folder;
  PosixDisk disk(folder.Path());
  LogStore store(disk);
  static_cast<void>(store.Recover());
  LogIndex index = 1;
  for (auto _ : state) {
    static_cast<void>(store.Write(Batch(index, index)));
    ++index;
  }
}
BENCHMARK(SyncedWrite)->Unit(benchmark::kMicrosecond)->Iterations(2'000);

}  // namespace
}  // namespace tamarackwing::state
