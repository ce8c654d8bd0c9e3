#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/control_effects.h"
#include "tamarackwing/control/control_options.h"
#include "tamarackwing/control/feed_follower.h"
#include "tamarackwing/control/feed_source.h"
#include "tamarackwing/control/host_monitor.h"
#include "tamarackwing/control/leader_tasks.h"
#include "tamarackwing/control/ledger_client.h"
#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/control/proposal_tracker.h"
#include "tamarackwing/control/region_allocator.h"
#include "tamarackwing/control/roster_follower.h"
#include "tamarackwing/control/server_relay.h"
#include "tamarackwing/control/server_roster.h"
#include "tamarackwing/control/voter_keeper.h"
#include "tamarackwing/control/voter_log.h"
#include "tamarackwing/state/agreed_log.h"
#include "tamarackwing/state/control_state.h"
#include "tamarackwing/state/operation_ledger.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing {
class RandomSource;
}

namespace tamarackwing::control {

//! The persisted state from which a control node starts.
struct RecoveredControl {
  state::RecoveredLog log;
  state::RecoveredLedger ledger;
};

//! All control state of one host: the replicated log, the feed of its committed
//! entries, the ledger and the token budget of its region, and the failure
//! detector for other hosts. A state machine without I/O: events and times come
//! in, effects go out. Not thread-safe.
class ControlNode {
 public:
  //! Precondition: `random` outlives the node.
  ControlNode(ControlOptions options,
              RecoveredControl recovered,
              RandomSource& random,
              TimePoint now);
  ~ControlNode();

  //! Sets how long after the last leader contact this host serves keys that do
  //! not have its region as a home region.
  void SetKeyFreshness(std::chrono::milliseconds freshness) {
    this->options.key_freshness = freshness;
  }
  //! Runs the work that is due at `now`; to be called every few tens of
  //! milliseconds.
  ControlEffects Tick(TimePoint now);
  //! Handles a message from another host.
  ControlEffects Receive(const HostName& from,
                         const PeerMessage& message,
                         TimePoint now);
  //! Records that bytes of a message from another host were arriving at `at`.
  void NoteBytes(const HostName& from, TimePoint at) {
    this->follower.NoteBytes(from, at);
  }
  //! Returns the hosts whose bytes have to be passed to NoteBytes: those that
  //! this host has asked for the log's entries.
  std::set<HostName> AwaitedHosts() const {
    return {this->follower.Source(), this->follower.EntriesSource()};
  }
  //! Records that all log batches up to `ticket` are on disk.
  ControlEffects LogPersisted(std::uint64_t ticket, TimePoint now);
  //! Records that all ledger batches up to `ticket` are on disk.
  ControlEffects LedgerPersisted(std::uint64_t ticket, TimePoint now);

  //! Proposes a change, as the leader or by sending it to the leader, and
  //! repeats that until its outcome is known, which may be at once. Returns the
  //! proposal's number, under which the outcome appears in
  //! ControlEffects::changes.
  std::uint64_t Propose(const state::ControlChange& change,
                        TimePoint now,
                        ControlEffects& effects);
  //! Stops tracking and resending a proposal. The change may still commit.
  void DropProposal(std::uint64_t number);
  //! Withdraws a key at once, here and at every reachable host, and proposes
  //! the withdrawal to the log.
  ControlEffects Withdraw(const KeyDigest& digest, TimePoint now);
  //! Requests the progress of all hosts from the leader. Returns the request's
  //! number, or nullopt if no leader is known.
  std::optional<std::uint64_t> SendStatusRequest(TimePoint now,
                                                 ControlEffects& effects);

  //! Requests permission from a region's ledger to run an operation. Returns
  //! the request's number, under which the reply appears in
  //! ControlEffects::permits.
  std::uint64_t RequestPermit(const RegionName& region,
                              const OperationId& operation,
                              TimePoint now,
                              ControlEffects& effects);
  //! Reports the outcome of a granted operation to the ledger.
  ControlEffects EndOperation(const RegionName& region,
                              const OperationId& operation,
                              state::OperationState outcome,
                              const state::StoredAnswer& answer,
                              TimePoint now);
  //! Requests a chunk of tokens from the region's allocator. Without a
  //! membership view of the region, the grant is empty.
  ControlEffects RequestChunk(const policy::ChunkRequest& request,
                              TimePoint now);
  //! Returns a chunk to the region's allocator.
  ControlEffects SettleChunk(const policy::ChunkSettled& settled,
                             TimePoint now);
  //! Updates the next report to the hosts of this region from `status`: its
  //! loads replace those of the report; its served tokens and server reports
  //! are added. `loads` are this region's loads, sent in reply to probes.
  void SetRegionStatus(RegionStatus status,
                       std::vector<TargetLoad> loads,
                       TimePoint now);
  //! Sends a probe to a host of another region.
  ControlEffects Probe(const HostName& host, std::uint64_t number);
  //! Records a backend server's report and forwards it to the hosts with disks
  //! in its region, at once or with the next batch. The entry hosts of its
  //! region hear with the next tick that the server was replaced or turned
  //! cold.
  ControlEffects RelayServer(const policy::ServerReport& report, TimePoint now);
  //! Tells the other entry hosts of this region of signs that the processes of
  //! backend servers may have been replaced.
  ControlEffects TellDoubts(std::vector<HeardDoubt> doubts);
  //! Requests this host's shares of the workspaces' rates from the leader; the
  //! reply appears in ControlEffects::rate_grants. Does nothing if no leader is
  //! known.
  ControlEffects ReportRates(const policy::RateReport& report, TimePoint now);
  //! Reports crashes of servers, and which blocks of prompts this host's
  //! requests show to be sound, to the leader; the decisions appear in
  //! ControlEffects::quarantine_notices. Does nothing if no leader is known.
  ControlEffects ReportCrashes(const policy::CrashReport& report,
                               TimePoint now);
  //! Announces from now on that this host drains.
  void StartDrain();
  //! Returns whether the agreed state says that this host drains. That an
  //! earlier process of the host drained says nothing of this one.
  bool IsDraining() const;

  //! Returns the control state that the traffic threads use from `now` on.
  std::shared_ptr<const state::Snapshot> MakeSnapshot(TimePoint now) const;
  const state::ControlState& State() const { return this->state; }
  const ControlOptions& Options() const { return this->options; }
  bool IsLeader() const { return this->log.IsLeader(); }
  const HostName& Leader() const;
  //! See state::AgreedLog.
  std::optional<Duration> QuorumAge(TimePoint now) const {
    return this->log.QuorumAge(now);
  }
  Duration TakeSlowestAppend() { return this->log.TakeSlowestAppend(); }
  Term CurrentTerm() const { return this->log.CurrentTerm(); }
  //! Returns how many entries this host's log knows to be committed and the
  //! host has not applied.
  std::uint64_t CommitBehind() const;
  const std::set<HostName>& Voters() const { return this->log.Voters(); }
  //! Returns how the voters stand; nullopt if this host does not lead with a
  //! lease, or has not listened to them for long enough.
  std::optional<VoterHealth> FindVoterHealth(TimePoint now);
  const state::OperationLedger& Ledger() const { return this->ledger; }
  //! Whether this host may serve.
  bool IsReady() const { return this->ready; }
  //! Whether the ledger has acknowledged all updates of this host.
  bool AllUpdatesAcknowledged() const {
    return this->client.OpenUpdates() == 0;
  }
  //! Returns the other hosts of this region in the agreed state.
  std::vector<HostName> RegionPeers() const;
  //! Returns how long another host of this region may send no status before it
  //! counts as lost. In a large region, statuses are rarer than in a small one.
  std::chrono::milliseconds PeerSilenceLimit() const;

 private:
  void ApplyLogEffects(state::LogEffects log_effects,
                       TimePoint now,
                       ControlEffects& effects);
  void ApplyLedgerEffects(state::LedgerEffects ledger_effects,
                          TimePoint now,
                          ControlEffects& effects);
  void ApplyEntries(const std::vector<state::LogEntry>& entries,
                    TimePoint now,
                    ControlEffects& effects);
  void ApplyEntry(const state::LogEntry& entry,
                  TimePoint now,
                  ControlEffects& effects);
  void InstallSnapshot(const state::LogSnapshot& snapshot,
                       TimePoint now,
                       ControlEffects& effects);
  void LogHostChanges(
      const std::map<HostName, state::HostRecord>& hosts,
      const std::map<RegionName, std::set<HostName>>& live) const;
  void ApplyView(TimePoint now, ControlEffects& effects);
  void AfterApply(TimePoint now, ControlEffects& effects);
  void FinishProposals(const state::LogEntry& entry,
                       const state::ApplyOutcome& outcome,
                       ControlEffects& effects);
  void Deliver(const HostName& to,
               PeerMessage message,
               TimePoint now,
               ControlEffects& effects);

  void HandleFeedRequest(const HostName& from,
                         const FeedRequest& request,
                         TimePoint now,
                         ControlEffects& effects);
  void HandleFeedReply(const HostName& from,
                       const FeedReply& reply,
                       TimePoint now,
                       ControlEffects& effects);
  void HandlePropose(const HostName& from,
                     const ProposeRequest& request,
                     TimePoint now,
                     ControlEffects& effects);
  void HandleWithdrawal(const HostName& from,
                        const WithdrawalNotice& notice,
                        TimePoint now,
                        ControlEffects& effects);
  //! Sends signs to the entry hosts of a region.
  void SendDoubts(const RegionName& region,
                  std::vector<HeardDoubt> doubts,
                  ControlEffects& effects) const;
  void HandleRegionStatus(const HostName& from,
                          const RegionStatus& status,
                          ControlEffects& effects);
  void HandleLedger(const HostName& from,
                    const state::LedgerMessage& message,
                    TimePoint now,
                    ControlEffects& effects);
  void HandleChunkOrProbe(const HostName& from,
                          const PeerMessage& message,
                          TimePoint now,
                          ControlEffects& effects);
  void HandleRates(const HostName& from,
                   const policy::RateReport& report,
                   TimePoint now,
                   ControlEffects& effects);
  void HandleCrashes(const HostName& from,
                     const policy::CrashReport& report,
                     TimePoint now,
                     ControlEffects& effects);
  //! Sends the quarantine to all entry hosts if it has changed or is due.
  void SendQuarantine(TimePoint now, ControlEffects& effects);
  //! Returns the hosts that pass on notices, with the entry hosts to which each
  //! does; this leader, for those that have no other.
  std::map<HostName, std::vector<HostName>> NoticeRelays() const;
  void DeliverNotice(const HostName& to,
                     const policy::QuarantineNotice& notice,
                     ControlEffects& effects) const;
  void LogVerdicts();
  void HandleStatusRequest(const HostName& from,
                           const StatusRequest& request,
                           TimePoint now,
                           ControlEffects& effects);

  void SendReports(TimePoint now, ControlEffects& effects);
  void ReportToRegion(TimePoint now, ControlEffects& effects);
  void SendFeedRequest(TimePoint now, ControlEffects& effects);
  //! Tells the hosts with disks of which this leader hears nothing that it
  //! leads.
  void AnnounceLeader(TimePoint now, ControlEffects& effects) const;
  //! Sends a request for no entries.
  void SendProbe(const HostName& to,
                 FeedRequest probe,
                 TimePoint now,
                 ControlEffects& effects) const;
  //! Logs a change of the source.
  void LogSource(const HostName& source, TimePoint now);
  //! Asks a source for the entries that this host lacks.
  void RequestEntries(const HostName& source,
                      TimePoint now,
                      ControlEffects& effects);
  void SendServerReports(TimePoint now, ControlEffects& effects);
  //! Returns the hosts that get the reports of a region's servers; all hosts
  //! with disks if the region is empty or has none that is live.
  std::vector<HostName> RosterKeepers(const RegionName& region) const;
  void HandleServerReports(const ServerReports& reports,
                           TimePoint now,
                           ControlEffects& effects);
  void HandleRosterRequest(const HostName& from,
                           const RosterRequest& request,
                           TimePoint now,
                           ControlEffects& effects);
  void FetchRoster(TimePoint now, ControlEffects& effects);
  FeedKnowledge Knowledge(TimePoint now) const;
  void RunLeaderTasks(TimePoint now, ControlEffects& effects);
  void ChangeVoters(TimePoint now, ControlEffects& effects);
  void CompactLog(ControlEffects& effects, TimePoint now);
  void ResendProposals(TimePoint now, ControlEffects& effects);
  //! Appends an open proposal of this host to the log if this host leads, else
  //! sends it to the leader.
  void SendProposal(std::uint64_t number,
                    TimePoint now,
                    ControlEffects& effects);
  //! Returns whether a set with this or a higher number is in force, or in this
  //! leader's log. Zero is the number of no set.
  bool IsSetOvertaken(std::uint64_t number) const;
  //! Records a set that this leader has put into its log.
  void NoteSetAppended(std::uint64_t number, LogIndex index);
  void UpdateReady(TimePoint now, ControlEffects& effects);
  //! Notes that the node runs, and whether it was suspended before.
  void NoteRunning(TimePoint now);
  //! Returns whether a host of this region counts as lost because this one has
  //! not heard it, although it could have.
  bool IsSilent(const HostName& host, TimePoint now) const;
  //! Logs loss and recovery of leader contact.
  void WatchLeaderContact(TimePoint now);
  //! Returns the hosts that accept callers.
  std::set<HostName> EntryHosts() const;
  //! Returns the hosts with disks, which may hold rate leases.
  std::set<HostName> RateHolders() const;
  HostStatus OwnStatus() const;
  std::vector<HostName> Sources() const;
  //! Returns the hosts that are lost as the agreed state says.
  std::set<HostName> LostHosts() const;
  std::optional<TimePoint> LeaderContact(TimePoint now) const;
  bool IsAlive(const state::PermitRequestId& id) const;
  std::uint64_t IncarnationOf(const HostName& host) const;
  const state::HostRecord* FindHost(const HostName& host) const;

  ControlOptions options;
  state::AgreedLog log;
  state::ControlState state;
  state::OperationLedger ledger;
  LedgerClient client;
  RegionAllocator allocator;
  HostMonitor monitor;
  LeaderTasks leader_tasks;
  FeedFollower follower;
  FeedSource feed;
  ServerRelay relay;
  ServerRoster roster;
  RosterFollower roster_follower;
  policy::RateLeases rates;
  policy::QuarantineJudge judge;
  VoterKeeper voter_keeper;
  VoterLog voter_log;
  //! The hosts that `voter_keeper` knows of.
  std::shared_ptr<const std::map<HostName, state::HostRecord>> kept_hosts;

  bool was_leader = false;
  bool ready = false;
  bool draining = false;
  TimePoint started;
  TimePoint last_tick;
  //! Since when this host runs without a pause.
  TimePoint running_since;
  TimePoint report_at;
  TimePoint region_report_at;
  std::chrono::milliseconds region_report_interval{0};
  TimePoint leader_tasks_at;
  TimePoint relay_at;
  bool region_replied = false;
  HostName logged_source;
  //! When a source last replied.
  TimePoint source_replied_at;
  //! A source that has entries which this host lacks, while it waits for those
  //! of another.
  HostName source_ahead;
  //! Number of probes sent to sources since the start, and whether each source
  //! has got one.
  std::size_t probed_sources = 0;
  bool probed_all = false;
  bool had_leader_contact = false;
  std::optional<TimePoint> contact_lost_at;
  ProposalTracker proposals;
  //! The last set that this host has appended as the leader of this term.
  std::uint64_t appended_set = 0;
  LogIndex appended_set_index = 0;
  std::map<std::string, LogIndex> pending_tasks;
  std::set<KeyDigest> uncommitted_withdrawn;
  //! Backend servers that have reported from another process, or that they are
  //! cold again, by region, for the entry hosts there.
  std::map<RegionName, std::vector<HeardDoubt>> turned_cold;
  RegionStatus region_status;
  //! When the ages of its doubts were right.
  TimePoint doubts_at;
  std::vector<TargetLoad> region_loads;
  std::map<HostName, std::uint64_t> status_number;
  std::map<HostName, std::map<std::uint64_t, TimePoint>> status_sent;
  std::map<HostName, std::uint64_t> status_received;
};

}  // namespace tamarackwing::control
