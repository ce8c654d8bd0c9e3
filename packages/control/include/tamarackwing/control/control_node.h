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
#include "tamarackwing/control/server_relay.h"
#include "tamarackwing/state/agreed_log.h"
#include "tamarackwing/state/control_state.h"
#include "tamarackwing/state/operation_ledger.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing {
class RandomSource;
}

namespace tamarackwing::control {

//! What a control node reads back at its start.
struct RecoveredControl {
  state::RecoveredLog log;
  state::RecoveredLedger ledger;
};

//! All control state of one host: the agreed log or the feed of it, the ledger
//! and the budget of its region, the watch over other hosts. Events and times
//! come in, effects go out; there is no I/O. Not thread-safe.
class ControlNode {
 public:
  //! Precondition: `random` outlives the node.
  ControlNode(ControlOptions options,
              RecoveredControl recovered,
              RandomSource& random,
              TimePoint now);
  ~ControlNode();

  //! Keys are served on word that is younger, from now on.
  void SetKeyFreshness(std::chrono::milliseconds freshness) {
    this->options.key_freshness = freshness;
  }
  //! Lets time pass; to be called every few tens of milliseconds.
  ControlEffects Tick(TimePoint now);
  //! Takes a message of another host.
  ControlEffects Receive(const HostName& from,
                         const PeerMessage& message,
                         TimePoint now);
  //! Says that batches up to a ticket are on disk.
  ControlEffects LogPersisted(std::uint64_t ticket, TimePoint now);
  ControlEffects LedgerPersisted(std::uint64_t ticket, TimePoint now);

  //! Proposes a change, here or at the leader, until it is done; its number
  //! stands in ControlEffects::changes then.
  std::uint64_t Propose(const state::ControlChange& change,
                        TimePoint now,
                        ControlEffects& effects);
  //! Gives a proposal up.
  void DropProposal(std::uint64_t number);
  //! Withdraws a key here and at every host that can be reached, at once.
  ControlEffects Withdraw(const KeyDigest& digest, TimePoint now);
  //! Asks the leader how far the hosts are; nothing where none is known.
  std::optional<std::uint64_t> SendStatusRequest(TimePoint now,
                                                 ControlEffects& effects);

  //! Asks the ledger of a region for a permit; the answer stands in
  //! ControlEffects::permits under the number.
  std::uint64_t RequestPermit(const RegionName& region,
                              const OperationId& operation,
                              TimePoint now,
                              ControlEffects& effects);
  //! Says how a granted operation ended.
  ControlEffects EndOperation(const RegionName& region,
                              const OperationId& operation,
                              state::OperationState outcome,
                              const state::StoredAnswer& answer,
                              TimePoint now);
  //! Asks the region's allocator for tokens.
  ControlEffects RequestChunk(const policy::ChunkRequest& request,
                              TimePoint now);
  //! Gives a chunk back to the region's allocator.
  ControlEffects SettleChunk(const policy::ChunkSettled& settled,
                             TimePoint now);
  //! Adds to what the region's hosts are told with the next report, and sets
  //! what other regions are told of this one.
  void SetRegionStatus(RegionStatus status, std::vector<TargetLoad> loads);
  //! Probes a host of another region.
  ControlEffects Probe(const HostName& host, std::uint64_t number);
  //! Takes a backend server's report on its way to the entry hosts of its
  //! region.
  ControlEffects RelayServer(const policy::ServerReport& report, TimePoint now);
  //! Asks the leader for this host's parts of the workspaces' rates; the answer
  //! stands in ControlEffects::rate_grants.
  ControlEffects ReportRates(const policy::RateReport& report);
  //! Starts to tell others that this host drains.
  void StartDrain();

  //! What traffic should know now.
  std::shared_ptr<const state::Snapshot> MakeSnapshot(TimePoint now) const;
  const state::ControlState& State() const { return this->state; }
  const ControlOptions& Options() const { return this->options; }
  bool IsLeader() const { return this->log.IsLeader(); }
  const HostName& Leader() const;
  Term CurrentTerm() const { return this->log.CurrentTerm(); }
  const std::set<HostName>& Voters() const { return this->log.Voters(); }
  const state::OperationLedger& Ledger() const { return this->ledger; }
  //! Whether this host may serve.
  bool IsReady() const { return this->ready; }
  //! Whether what this host has handed over on a planned stop is taken.
  bool AllUpdatesAcknowledged() const {
    return this->client.OpenUpdates() == 0;
  }
  //! Hosts of this region, this one left out, as the agreed state has them.
  std::vector<HostName> RegionPeers() const;

 private:
  void TakeLog(state::LogEffects log_effects,
               TimePoint now,
               ControlEffects& effects);
  void TakeLedger(state::LedgerEffects ledger_effects,
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
  void TakeView(TimePoint now, ControlEffects& effects);
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
  void HandleProposeReply(const ProposeReply& reply, ControlEffects& effects);
  void HandleNotice(const HostName& from,
                    const WithdrawalNotice& notice,
                    TimePoint now,
                    ControlEffects& effects);
  void HandleRegionStatus(const HostName& from,
                          const RegionStatus& status,
                          ControlEffects& effects);
  void HandleLedger(const HostName& from,
                    const state::LedgerMessage& message,
                    TimePoint now,
                    ControlEffects& effects);
  void HandleChunk(const HostName& from,
                   const PeerMessage& message,
                   TimePoint now,
                   ControlEffects& effects);
  void HandleRates(const HostName& from,
                   const policy::RateReport& report,
                   TimePoint now,
                   ControlEffects& effects);
  void HandleStatusRequest(const HostName& from,
                           const StatusRequest& request,
                           TimePoint now,
                           ControlEffects& effects);

  void Report(TimePoint now, ControlEffects& effects);
  void ReportToRegion(TimePoint now, ControlEffects& effects);
  void SendFeedRequest(TimePoint now, ControlEffects& effects);
  void SendServerReports(TimePoint now, ControlEffects& effects);
  FeedKnowledge Knowledge(TimePoint now) const;
  void RunLeaderTasks(TimePoint now, ControlEffects& effects);
  void ChangeVoters(TimePoint now, ControlEffects& effects);
  void CompactLog(ControlEffects& effects, TimePoint now);
  void ResendProposals(TimePoint now, ControlEffects& effects);
  //! Puts an open proposal of this host into its log, or sends it to the
  //! leader.
  void SendProposal(std::uint64_t number,
                    TimePoint now,
                    ControlEffects& effects);
  void UpdateReady(TimePoint now, ControlEffects& effects);
  //! Logs when word from a leader is lost and when it is back.
  void WatchLeaderContact(TimePoint now);
  //! Hosts that take callers, and so may hold leases of rates.
  std::set<HostName> EntryHosts() const;
  HostStatus OwnStatus() const;
  std::vector<HostName> Sources() const;
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
  policy::RateLeases rates;

  bool was_leader = false;
  bool ready = false;
  bool draining = false;
  TimePoint started;
  TimePoint report_at;
  TimePoint region_report_at;
  TimePoint leader_tasks_at;
  TimePoint relay_at;
  bool heard_region = false;
  std::optional<TimePoint> contact_lost_at;
  ProposalTracker proposals;
  std::map<std::string, LogIndex> tasks_under_way;
  std::set<KeyDigest> early_withdrawn;
  RegionStatus region_status;
  std::vector<TargetLoad> region_loads;
  std::map<HostName, std::uint64_t> status_number;
  std::map<HostName, std::map<std::uint64_t, TimePoint>> status_sent;
  std::map<HostName, std::uint64_t> status_heard;
};

}  // namespace tamarackwing::control
