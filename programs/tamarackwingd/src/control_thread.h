#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "chunk_budget.h"
#include "leased_rate_budget.h"
#include "region_table.h"
#include "settings.h"
#include "tamarackwing/backend_servers/server_registry.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/metrics.h"
#include "tamarackwing/base/random_source.h"
#include "tamarackwing/control/control_effects.h"
#include "tamarackwing/control/control_node.h"
#include "tamarackwing/gateway/active_requests.h"
#include "tamarackwing/gateway/admission_gate.h"
#include "tamarackwing/gateway/operation_permits.h"
#include "tamarackwing/gateway/server_directory.h"
#include "tamarackwing/gateway/snapshot_holder.h"
#include "tamarackwing/hosts/peer_handler.h"
#include "tamarackwing/hosts/peer_network.h"
#include "tamarackwing/operators/operator_service.h"
#include "tamarackwing/state/disk.h"
#include "tamarackwing/state/log_store.h"

namespace tamarackwing::daemon {

class DiskThread;

//! Why the control thread could not start.
enum class ControlError { kCannotListen, kJournalDamaged, kDiskFailed };

//! What the control thread serves; everything outlives it.
struct ControlDependencies {
  //! Counts the time for which the machine was suspended.
  const Clock& clock;
  //! The clock of the traffic threads.
  const Clock& traffic_clock;
  Metrics& metrics;
  gateway::SnapshotHolder& snapshots;
  gateway::ServerDirectory& servers;
  gateway::AdmissionGate& gate;
  gateway::ActiveRequests& active;
  ChunkBudget& budget;
  LeasedRateBudget& rates;
  RegionTable& regions;
};

//! The one thread of control state: it runs the control node, carries out its
//! effects, and answers traffic and operators.
//! Thread safety: the overridden methods from any thread; the rest from the
//! thread that made it.
class ControlThread final : public gateway::OperationPermits,
                            public operators::OperatorService,
                            public backend_servers::ServerRegistry,
                            private hosts::PeerHandler {
 public:
  //! `disk` is null on a host without one, and outlives the thread.
  ControlThread(const Settings& settings,
                ControlDependencies dependencies,
                state::Disk* disk,
                bool bootstraps_log);
  ~ControlThread() override;

  //! Recovers from the disk, listens and runs.
  Expected<void, ControlError> Start();
  //! Takes in what may change while the host runs: the fleet's second sends
  //! and the freshness of keys.
  void TakeSettings(const Settings& next);
  //! Tells the others that this host drains.
  void StartDrain();
  //! Whether what the host had to hand over has been taken.
  bool IsQuiet() const { return this->quiet.load(); }
  //! Whether the disk has failed: the host must stop.
  bool HasFailed() const { return this->failed.load(); }
  //! Whether the agreed state says that this host drains.
  bool IsToldToDrain() const { return this->told_to_drain.load(); }
  //! Stops the thread; the disk is left in order.
  void Stop();

  void Request(const RegionName& region,
               const OperationId& operation,
               OperationPermits::Callback callback) override;
  void Release(const RegionName& region, const OperationId& operation) override;
  void Answer(const RegionName& region,
              const OperationId& operation,
              const gateway::OperationAnswer& answer) override;
  void MarkUnknown(const RegionName& region,
                   const OperationId& operation) override;

  void Change(state::ControlChange change, ChangeCallback callback) override;
  void Check(state::PublishSet publish, ChangeCallback callback) override;
  void Withdraw(KeyDigest digest) override;
  void Status(StatusCallback callback) override;
  std::shared_ptr<const state::Snapshot> Snapshot() override;

  //! Relays a report to the entry hosts of the server's region; false while
  //! this host does not know them.
  bool Announce(const policy::ServerReport& report) override;
  void NoteCacheEvents(const backend_servers::CacheEvents& events) override;

 private:
  struct Changing {
    ChangeCallback callback;
    TimePoint since;
  };
  struct AskingStatus {
    StatusCallback callback;
    TimePoint since;
  };

  void HandleMessage(const HostName& from,
                     control::PeerMessage message) override;
  Expected<control::RecoveredControl, ControlError> Recover();
  void Run(control::RecoveredControl recovered,
           const std::function<void(bool)>& started);
  void Tick();
  void Carry(control::ControlEffects effects);
  void CarryRegionStatusUpdate(const control::RegionStatusUpdate& update);
  void CarryProbe(const control::ProbeResult& probe_result);
  void ReportRates();
  void ShareSlots();
  void ProbeRegions();
  void PublishSnapshot();
  void PublishMetrics();
  void LimitRetries();
  void TakeHosts(const std::map<HostName, state::HostRecord>& hosts);
  void EndWaits();
  void End(const RegionName& region,
           const OperationId& operation,
           state::OperationState outcome,
           state::StoredAnswer answer);
  void LinkBudget();
  std::vector<state::HostRecord> KnownHosts() const;
  control::ControlOptions MakeOptions() const;

  const Settings& settings;
  ControlDependencies dependencies;
  state::Disk* disk;
  bool bootstraps_log;
  //! Second sends of all hosts together, as last told.
  std::uint32_t fleet_retries;
  SeededRandom random;
  std::unique_ptr<state::LogStore> store;
  std::unique_ptr<control::ControlNode> node;
  std::unique_ptr<DiskThread> disk_thread;
  std::unique_ptr<hosts::PeerNetwork> network;
  std::thread thread;
  std::atomic<bool> quiet{false};
  std::atomic<bool> failed{false};
  std::atomic<bool> told_to_drain{false};

  std::map<std::uint64_t, OperationPermits::Callback> permits;
  std::map<std::uint64_t, Changing> changes;
  std::map<std::uint64_t, AskingStatus> statuses;
  std::map<HostName, control::RegionStatus> region_statuses;
  std::map<HostName, TimePoint> region_heard;
  std::vector<policy::ServerReport> announced;
  std::uint64_t next_probe = 1;
  std::size_t next_region = 0;
  std::map<std::uint64_t, TimePoint> probe_sent;
  TimePoint probe_at;
  TimePoint share_at;
  TimePoint snapshot_at;
  TimePoint rates_at;
  HostName rates_leader;
  TimePoint rates_leader_since;
  std::shared_ptr<const std::map<HostName, state::HostRecord>> known_hosts;
  //! How many of them take callers.
  std::uint32_t entry_hosts = 0;
};

}  // namespace tamarackwing::daemon
