#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "chunk_budget.h"
#include "control_load.h"
#include "disk_watch.h"
#include "leased_rate_budget.h"
#include "region_table.h"
#include "settings.h"
#include "spill_log.h"
#include "tamarackwing/backend_servers/server_registry.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/metrics.h"
#include "tamarackwing/base/random_source.h"
#include "tamarackwing/control/control_effects.h"
#include "tamarackwing/control/control_node.h"
#include "tamarackwing/control/load_collectors.h"
#include "tamarackwing/gateway/active_requests.h"
#include "tamarackwing/gateway/admission_gate.h"
#include "tamarackwing/gateway/block_quarantine.h"
#include "tamarackwing/gateway/link_prober.h"
#include "tamarackwing/gateway/operation_permits.h"
#include "tamarackwing/gateway/server_directory.h"
#include "tamarackwing/gateway/snapshot_holder.h"
#include "tamarackwing/gateway/stream_origins.h"
#include "tamarackwing/hosts/peer_handler.h"
#include "tamarackwing/hosts/peer_network.h"
#include "tamarackwing/operators/operator_service.h"
#include "tamarackwing/policy/load_board.h"
#include "tamarackwing/policy/server_load.h"
#include "tamarackwing/policy/token_inquiry.h"
#include "tamarackwing/state/disk.h"
#include "tamarackwing/state/log_store.h"
#include "turn_watch.h"

namespace tamarackwing::daemon {

class DiskThread;

//! The reason why the control thread could not start.
enum class ControlError { kCannotListen, kJournalDamaged, kDiskFailed };

//! Dependencies of the control thread; all of them must outlive it.
struct ControlDependencies {
  //! Also counts the time during which the host was suspended.
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
  gateway::BlockQuarantine& quarantine;
  gateway::StreamOrigins& streams;
  gateway::LinkProber& prober;
};

//! The thread that owns the control state: it runs the control node, executes
//! its effects, and handles requests of the traffic threads and of operators.
//! Thread safety: the overridden public methods are callable from any thread;
//! the others must be called on the thread that created the object.
class ControlThread final : public gateway::OperationPermits,
                            public operators::OperatorService,
                            public backend_servers::ServerRegistry,
                            private hosts::PeerHandler {
 public:
  //! Preconditions: `disk` is null on a host without a disk, and otherwise
  //! outlives the object.
  ControlThread(const Settings& settings,
                ControlDependencies dependencies,
                state::Disk* disk,
                bool bootstraps_log);
  ~ControlThread() override;

  //! Recovers the log and the ledger from the disk, opens the listener for
  //! peers and starts the thread.
  Expected<void, ControlError> Start();
  //! Applies the settings that may change at run time: the retry limit of all
  //! hosts together and the freshness of keys. Precondition: Start has
  //! succeeded.
  void ApplySettings(const Settings& next);
  //! Announces to the other hosts that this host drains.
  void StartDrain();
  //! Returns whether the ledger has acknowledged all updates of this host.
  bool UpdatesAcknowledged() const { return this->updates_acknowledged.load(); }
  //! Returns whether the disk has failed, after which the host must stop.
  bool HasFailed() const { return this->failed.load(); }
  //! Returns whether the replicated control state marks this host as draining.
  bool IsDrainRequested() const { return this->drain_requested.load(); }
  //! Stops the thread after the queued batches are written to the disk, unless
  //! the disk has failed.
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

  //! Relays a report to the entry hosts of the server's region; returns false
  //! if this host does not know any hosts yet.
  bool Announce(const policy::ServerReport& report) override;
  void NoteCacheEvents(const backend_servers::CacheEvents& events) override;

 private:
  //! A proposed change that waits for its outcome.
  struct PendingChange {
    ChangeCallback callback;
    TimePoint since;
  };
  //! A status request that waits for the leader's reply.
  struct PendingStatus {
    StatusCallback callback;
    TimePoint since;
  };

  //! A question about a stream that waits for its keepers' answers.
  struct PendingStream {
    gateway::StreamOrigins::Callback callback;
    std::size_t unanswered = 0;
    TimePoint since;
  };

  //! A request for tokens that waits for the reply of a bucket's keeper.
  struct PendingTokens {
    LeasedRateBudget::ReplyCallback callback;
    HostName keeper;
    TimePoint since;
  };

  //! A request for tokens that several keepers are asked for.
  struct PendingInquiry {
    policy::TokenInquiry inquiry;
    policy::TokenRequest request;
    LeasedRateBudget::DecisionCallback callback;
  };

  void HandleMessage(const HostName& from,
                     control::PeerMessage message) override;
  void TellKeepers(const policy::StreamBegun& begun);
  void AskKeepers(std::uint64_t stream,
                  gateway::StreamOrigins::Callback callback);
  void HandleStreamAnswer(const policy::StreamAnswer& answer);
  //! Returns the host that keeps a workspace's bucket for this region; an empty
  //! name if none is known that replies.
  HostName KeeperOf(const WorkspaceName& workspace) const;
  void AskForTokens(policy::TokenRequest request,
                    LeasedRateBudget::ReplyCallback callback);
  void HandleTokenReply(const HostName& from, const policy::TokenReply& reply);
  //! Asks keepers of this region and of others until one grants the tokens.
  void Inquire(policy::TokenRequest request,
               TimePoint latest,
               LeasedRateBudget::DecisionCallback callback);
  //! Asks the keepers, and reports the decision, of an inquiry's step.
  void TakeStep(PendingInquiry& pending, policy::TokenInquiry::Step step);
  //! Takes tokens from the bucket that this host keeps.
  policy::TokenReply HandleTokenRequest(const policy::TokenRequest& request);
  //! Returns the keepers of this region in the order of asking, without those
  //! that do not reply; one of another region if it has none.
  std::vector<HostName> OwnKeepers(const WorkspaceName& workspace) const;
  std::vector<HostName> OtherKeepers(const WorkspaceName& workspace) const;
  //! Returns tokens to `keeper`, or to the region's if it is empty.
  void ReturnTokens(const policy::TokenReturn& returned,
                    const HostName& keeper);
  Expected<control::RecoveredControl, ControlError> Recover();
  void Run(control::RecoveredControl recovered,
           const std::function<void(bool)>& started);
  void Tick();
  //! Logs if the previous tick was long ago.
  void WatchTurns();
  //! Logs when the disk begins to take no more writes, and when it ends.
  void WatchDisk();
  void Execute(control::ControlEffects effects);
  void ApplyDoubts(const HostName& from,
                   const std::vector<control::HeardDoubt>& doubts);
  std::vector<control::HeardDoubt> ToHeard(
      const std::vector<policy::ServerDoubt>& doubts) const;
  //! Tells the region what this host has seen of servers' processes.
  void TellDoubts();
  void HandleRegionStatus(const control::RegionStatusUpdate& update);
  void HandleProbeResult(const control::ProbeResult& probe_result);
  void ReportRates(bool is_early);
  void ReportCrashes();
  void ShareSlots();
  //! Tells the region table which of this region's entry hosts reach servers.
  //! `peers` has the region's other live hosts.
  void FindNeighbours(
      const std::map<HostName, const control::RegionStatus*>& peers);
  //! Sets which hosts share the servers' limits, and adds the limits that this
  //! host knows to its status. `peers` has the region's other live hosts.
  void ShareLimits(
      const std::map<HostName, const control::RegionStatus*>& peers,
      control::RegionStatus& status);
  //! Sends what this host has on the servers to the region's load collector.
  void ReportLoads();
  void HandleLoadReport(const HostName& from, const policy::LoadReport& report);
  void HandleLoadSummary(const HostName& from, policy::LoadSummary summary);
  void ProbeRegions();
  //! Removes the hosts that are no entry hosts, unless none would be left.
  void KeepEntryHosts(std::vector<HostName>& hosts) const;
  void PublishSnapshot();
  void PublishMetrics();
  void PublishVoterMetrics(TimePoint now);
  void PublishTrafficMetrics();
  //! Logs what was sent since the last call, if it was much.
  void LogTraffic();
  //! Logs what this host with a disk did since the last call.
  void LogLoad();
  void LimitRetries();
  void ApplyHosts(const std::map<HostName, state::HostRecord>& hosts);
  void ExpireRequests();
  void End(const RegionName& region,
           const OperationId& operation,
           state::OperationState outcome,
           state::StoredAnswer answer);
  void SetUpCallbacks();
  std::vector<state::HostRecord> KnownHosts() const;
  control::ControlOptions MakeOptions() const;

  const Settings& settings;
  ControlDependencies dependencies;
  state::Disk* disk;
  bool bootstraps_log;
  //! Max retries of all hosts together, from the last applied settings.
  std::uint32_t fleet_retries;
  SeededRandom random;
  std::unique_ptr<state::LogStore> store;
  std::unique_ptr<control::ControlNode> node;
  std::unique_ptr<DiskThread> disk_thread;
  std::unique_ptr<hosts::PeerNetwork> network;
  std::thread thread;
  TurnWatch turns;
  ControlLoad load;
  SpillLog spill_log;
  DiskWatch disk_watch;
  std::atomic<bool> updates_acknowledged{false};
  std::atomic<bool> failed{false};
  std::atomic<bool> drain_requested{false};

  //! Pending requests, by the number that the control node gave them.
  std::map<std::uint64_t, OperationPermits::Callback> permits;
  std::map<std::uint64_t, PendingChange> changes;
  std::map<std::uint64_t, PendingStatus> statuses;
  //! Pending questions about streams, by number.
  std::map<std::uint64_t, PendingStream> streams;
  std::uint64_t next_stream;
  //! The last status of each other host of this region, and when it arrived.
  std::map<HostName, control::RegionStatus> region_statuses;
  std::map<HostName, TimePoint> status_received_at;
  //! Reports received from backend servers since the last region status.
  std::vector<policy::ServerReport> announced;
  //! Pending requests for tokens, by number.
  std::map<std::uint64_t, PendingTokens> token_requests;
  std::uint64_t next_token_request;
  //! Inquiries that wait for a decision or for late grants, by number.
  std::map<std::uint64_t, PendingInquiry> inquiries;
  //! Until when a host that did not reply is not asked.
  std::map<HostName, TimePoint> silent_keepers;
  control::LoadFollower load_follower;
  //! Live entry hosts of this region when loads were last reported.
  std::uint32_t entry_hosts_in_region = 0;
  //! What the hosts of the region report to this host as their collector.
  policy::LoadBoard load_board;
  std::uint64_t next_probe;
  //! Position of the next region to probe in the round-robin order.
  std::size_t next_region = 0;
  //! When each probe without a reply was sent, by probe number.
  std::map<std::uint64_t, TimePoint> probes_sent_at;
  //! When each periodic task is due next.
  TimePoint probe_at;
  TimePoint share_at;
  TimePoint snapshot_at;
  TimePoint rates_at;
  TimePoint crashes_at;
  TimePoint traffic_metrics_at;
  //! What was sent until the traffic was last logged.
  std::map<hosts::TrafficKind, hosts::SentTraffic> logged_traffic;
  //! The leader that gets the rate and crash reports, and since when.
  HostName rates_leader;
  TimePoint rates_leader_since;
  std::shared_ptr<const std::map<HostName, state::HostRecord>> known_hosts;
  bool draining = false;
  //! Number of entry hosts among `known_hosts`.
  std::uint32_t entry_hosts = 0;
};

}  // namespace tamarackwing::daemon
