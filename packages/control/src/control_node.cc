#include "tamarackwing/control/control_node.h"

#include <algorithm>
#include <utility>

#include "tamarackwing/base/digest.h"
#include "tamarackwing/base/event.h"
#include "tamarackwing/base/hex.h"
#include "tamarackwing/base/random_source.h"
#include "tamarackwing/control/membership_plan.h"
#include "tamarackwing/state/packed.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBasisPointsPerPercent = 100;
//! The interval between status reports to the other hosts of the region is
//! multiplied by their number divided by this, rounded down but at least one.
constexpr std::size_t kPeersPerInterval = 8;
constexpr milliseconds kLedgerResendInterval{200};
//! Time between two ticks after which the host counts as suspended meanwhile.
constexpr milliseconds kSuspension{1'000};
//! Maximum number of status reports per peer whose send times are kept until
//! the peer echoes them; an echo confirms the membership view that the peer
//! uses.
constexpr std::size_t kMaxUnechoedReports = 32;
//! Maximum number of sources that a starting host asks in one interval how far
//! they are.
constexpr std::size_t kMaxProbedSources = 4;

Event EventOf(policy::QuarantineVerdict::Kind kind) {
  switch (kind) {
    case policy::QuarantineVerdict::Kind::kQuarantined:
      return Event::kBlockQuarantined;
    case policy::QuarantineVerdict::Kind::kReleased:
      return Event::kBlockReleased;
    case policy::QuarantineVerdict::Kind::kTrial:
      return Event::kBlockTrial;
    case policy::QuarantineVerdict::Kind::kTrialFailed:
      return Event::kBlockTrialFailed;
  }
  return Event::kBlockQuarantined;
}

std::string_view RefusalName(state::VoteRefusal refusal) {
  switch (refusal) {
    case state::VoteRefusal::kLeaderContact:
      return "leader_contact";
    case state::VoteRefusal::kLeads:
      return "leads";
    case state::VoteRefusal::kCatchingUp:
      return "catching_up";
    case state::VoteRefusal::kOldLog:
      return "old_log";
    case state::VoteRefusal::kOldTerm:
      return "old_term";
    case state::VoteRefusal::kVoted:
      return "voted";
  }
  return "voted";
}

std::string MillisecondsText(Duration time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

//! Returns a change without its content, which may be large; its known outcome
//! (state::ControlState::KnownOutcome) is the same.
state::ControlChange WithoutContent(const state::ControlChange& change) {
  if (const auto* set = std::get_if<state::ReplaceSet>(&change)) {
    return state::ReplaceSet{set->number, {}, {}};
  }
  if (const auto* publish = std::get_if<state::PublishSet>(&change)) {
    return state::PublishSet{publish->id, publish->base, {}};
  }
  return change;
}

state::RecoveredLedger MoveLedger(RecoveredControl& recovered) {
  return std::move(recovered.ledger);
}

}  // namespace

ControlNode::ControlNode(ControlOptions node_options,
                         RecoveredControl recovered,
                         RandomSource& random,
                         TimePoint now)
    : options(std::move(node_options)),
      log(options.self.name,
          options.log,
          options.initial_voters,
          recovered.log,
          random,
          now),
      ledger(options.self.name,
             options.self.incarnation,
             options.self.has_disk,
             options.ledger,
             MoveLedger(recovered),
             [this](const state::PermitRequestId& id) {
               return this->IsAlive(id);
             }),
      client(options.self.name,
             options.self.incarnation,
             kLedgerResendInterval),
      allocator(options),
      monitor(options.host_lost),
      leader_tasks(options),
      follower(options.report, now, options.self.incarnation),
      relay(options),
      roster(options.self.incarnation, options.server_lease),
      roster_follower(options.self.region,
                      options.roster,
                      options.self.incarnation),
      rates(options.rates),
      judge(options.quarantine),
      voter_keeper(options, now),
      started(now),
      last_tick(now),
      running_since(now),
      report_at(now),
      proposals(options.self.incarnation) {
  if (!recovered.log.snapshot.state.empty()) {
    auto decoded = state::ControlState::Decode(recovered.log.snapshot.state);
    if (decoded) {
      this->state = std::move(*decoded);
    }
  }
}

ControlNode::~ControlNode() = default;

ControlEffects ControlNode::Tick(TimePoint now) {
  ControlEffects effects;
  this->NoteRunning(now);
  if (this->options.self.has_disk) {
    this->ApplyLogEffects(this->log.Tick(now), now, effects);
  }
  this->ApplyLedgerEffects(this->ledger.Tick(now), now, effects);
  std::vector<PeerSend> sends;
  for (state::PermitReply& refused :
       this->client.Tick(this->state, now, sends)) {
    effects.permits.push_back(std::move(refused));
  }
  for (PeerSend& send : sends) {
    this->Deliver(send.to, std::move(send.message), now, effects);
  }
  if (now >= this->report_at) {
    this->report_at = now + this->options.report;
    this->SendReports(now, effects);
  }
  this->ResendProposals(now, effects);
  if (now >= this->relay_at) {
    this->SendServerReports(now, effects);
  }
  for (auto& [region, doubts] : std::exchange(this->turned_cold, {})) {
    this->SendDoubts(region, std::move(doubts), effects);
  }
  this->FetchRoster(now, effects);
  if (this->log.IsLeader() && now >= this->leader_tasks_at) {
    this->leader_tasks_at = now + this->options.report / 2;
    this->RunLeaderTasks(now, effects);
  }
  this->SendQuarantine(now, effects);
  if (this->was_leader && !this->log.IsLeader()) {
    LogEvent(Event::kSteppedDown, LogLevel::kWarning,
             {{"host", this->options.self.name.Text()}});
  }
  this->was_leader = this->log.IsLeader();
  this->UpdateReady(now, effects);
  this->WatchLeaderContact(now);
  return effects;
}

ControlEffects ControlNode::Receive(const HostName& from,
                                    const PeerMessage& message,
                                    TimePoint now) {
  ControlEffects effects;
  this->monitor.NoteHeard(from, now);
  if (const auto* log_message = std::get_if<state::LogMessage>(&message)) {
    if (this->options.self.has_disk) {
      this->ApplyLogEffects(this->log.Receive(from, *log_message, now), now,
                            effects);
    }
  } else if (const auto* ledger_message =
                 std::get_if<state::LedgerMessage>(&message)) {
    this->HandleLedger(from, *ledger_message, now, effects);
  } else if (const auto* request = std::get_if<FeedRequest>(&message)) {
    this->HandleFeedRequest(from, *request, now, effects);
  } else if (const auto* reply = std::get_if<FeedReply>(&message)) {
    this->HandleFeedReply(from, *reply, now, effects);
  } else if (const auto* propose = std::get_if<ProposeRequest>(&message)) {
    this->HandlePropose(from, *propose, now, effects);
  } else if (const auto* notice = std::get_if<WithdrawalNotice>(&message)) {
    this->HandleWithdrawal(from, *notice, now, effects);
  } else if (const auto* status = std::get_if<RegionStatus>(&message)) {
    this->HandleRegionStatus(from, *status, effects);
  } else if (const auto* status_request =
                 std::get_if<StatusRequest>(&message)) {
    this->HandleStatusRequest(from, *status_request, now, effects);
  } else if (const auto* status_reply = std::get_if<StatusReply>(&message)) {
    effects.statuses.push_back(*status_reply);
  } else if (const auto* servers = std::get_if<ServerReports>(&message)) {
    this->HandleServerReports(*servers, now, effects);
  } else if (const auto* doubts = std::get_if<ServerDoubts>(&message)) {
    effects.doubts.push_back({from, doubts->doubts});
  } else if (const auto* roster_request =
                 std::get_if<RosterRequest>(&message)) {
    this->HandleRosterRequest(from, *roster_request, now, effects);
  } else if (const auto* roster_reply = std::get_if<RosterReply>(&message)) {
    effects.servers =
        this->roster_follower.HandleReply(from, *roster_reply, now);
  } else if (const auto* rate_report =
                 std::get_if<policy::RateReport>(&message)) {
    this->HandleRates(from, *rate_report, now, effects);
  } else if (const auto* rate_grant =
                 std::get_if<policy::RateGrant>(&message)) {
    effects.rate_grants.push_back(*rate_grant);
  } else if (const auto* crash_report =
                 std::get_if<policy::CrashReport>(&message)) {
    this->HandleCrashes(from, *crash_report, now, effects);
  } else if (const auto* quarantine_notice =
                 std::get_if<policy::QuarantineNotice>(&message)) {
    effects.quarantine_notices.push_back(*quarantine_notice);
  } else if (const auto* relayed = std::get_if<RelayedNotice>(&message)) {
    for (const HostName& host : relayed->recipients) {
      this->DeliverNotice(host, relayed->notice, effects);
    }
  } else {
    this->HandleChunkOrProbe(from, message, now, effects);
  }
  this->UpdateReady(now, effects);
  return effects;
}

ControlEffects ControlNode::LogPersisted(std::uint64_t ticket, TimePoint now) {
  ControlEffects effects;
  this->ApplyLogEffects(this->log.Persisted(ticket, now), now, effects);
  this->UpdateReady(now, effects);
  return effects;
}

ControlEffects ControlNode::LedgerPersisted(std::uint64_t ticket,
                                            TimePoint now) {
  ControlEffects effects;
  this->ApplyLedgerEffects(this->ledger.Persisted(ticket, now), now, effects);
  return effects;
}

std::uint64_t ControlNode::Propose(const state::ControlChange& change,
                                   TimePoint now,
                                   ControlEffects& effects) {
  const std::uint64_t number = this->proposals.NextNumber();
  if (auto known = this->state.KnownOutcome(change)) {
    effects.changes.push_back({number, std::move(*known)});
    return number;
  }
  std::string payload = state::EncodeProposal(
      change,
      {this->options.self.name, this->options.self.incarnation, number});
  if (this->state.AllHostsRead(state::kPackedFormat)) {
    payload = state::Pack(std::move(payload));
  }
  this->proposals.Add(number, WithoutContent(change), std::move(payload), now);
  this->SendProposal(number, now, effects);
  return number;
}

void ControlNode::DropProposal(std::uint64_t number) {
  this->proposals.Remove(number);
}

ControlEffects ControlNode::Withdraw(const KeyDigest& digest, TimePoint now) {
  ControlEffects effects;
  this->HandleWithdrawal(this->options.self.name, WithdrawalNotice{{digest}},
                         now, effects);
  return effects;
}

std::optional<std::uint64_t> ControlNode::SendStatusRequest(
    TimePoint now,
    ControlEffects& effects) {
  const std::uint64_t number = this->proposals.NextNumber();
  if (this->log.IsLeader()) {
    this->HandleStatusRequest(this->options.self.name, StatusRequest{number},
                              now, effects);
    return number;
  }
  if (this->Leader().IsEmpty()) {
    return std::nullopt;
  }
  effects.sends.push_back({this->Leader(), StatusRequest{number}});
  return number;
}

std::uint64_t ControlNode::RequestPermit(const RegionName& region,
                                         const OperationId& operation,
                                         TimePoint now,
                                         ControlEffects& effects) {
  std::vector<PeerSend> sends;
  const std::uint64_t number =
      this->client.Request(region, operation, this->state, now, sends);
  for (PeerSend& send : sends) {
    this->Deliver(send.to, std::move(send.message), now, effects);
  }
  return number;
}

ControlEffects ControlNode::EndOperation(const RegionName& region,
                                         const OperationId& operation,
                                         state::OperationState outcome,
                                         const state::StoredAnswer& answer,
                                         TimePoint now) {
  ControlEffects effects;
  std::vector<PeerSend> sends;
  this->client.Update(region, operation, outcome, answer, this->state, now,
                      sends);
  for (PeerSend& send : sends) {
    this->Deliver(send.to, std::move(send.message), now, effects);
  }
  return effects;
}

ControlEffects ControlNode::RequestChunk(const policy::ChunkRequest& request,
                                         TimePoint now) {
  ControlEffects effects;
  const auto view = this->state.Views().find(this->options.self.region);
  if (view == this->state.Views().end()) {
    effects.grants.push_back(
        {request.chunk, request.workspace, 0, this->options.report});
    return effects;
  }
  this->Deliver(view->second.coordinator, request, now, effects);
  return effects;
}

ControlEffects ControlNode::SettleChunk(const policy::ChunkSettled& settled,
                                        TimePoint now) {
  ControlEffects effects;
  const auto view = this->state.Views().find(this->options.self.region);
  if (view != this->state.Views().end()) {
    this->Deliver(view->second.coordinator, settled, now, effects);
  }
  return effects;
}

void ControlNode::SetRegionStatus(RegionStatus status,
                                  std::vector<TargetLoad> loads,
                                  TimePoint now) {
  RegionStatus& next = this->region_status;
  next.loads = std::move(status.loads);
  next.limits = std::move(status.limits);
  next.doubts = std::move(status.doubts);
  this->doubts_at = now;
  if (next.links_down != status.links_down) {
    next.links_down = status.links_down;
    this->region_report_at = TimePoint();
  }
  next.served.insert(next.served.end(), status.served.begin(),
                     status.served.end());
  for (policy::ServerReport& report : status.servers) {
    std::erase_if(next.servers, [&](const policy::ServerReport& known) {
      return known.name == report.name;
    });
    next.servers.push_back(std::move(report));
  }
  this->region_loads = std::move(loads);
}

ControlEffects ControlNode::Probe(const HostName& host, std::uint64_t number) {
  ControlEffects effects;
  effects.sends.push_back({host, ProbeRequest{number}});
  return effects;
}

ControlEffects ControlNode::RelayServer(const policy::ServerReport& report,
                                        TimePoint now) {
  ControlEffects effects;
  const policy::ServerReport* const last = this->roster.Find(report.name);
  const bool is_replaced = last != nullptr && last->started < report.started;
  // A report may arrive after a later one.
  const bool turned_cold = last != nullptr && last->started == report.started &&
                           last->sequence < report.sequence &&
                           last->cold_for == milliseconds(0) &&
                           report.cold_for > milliseconds(0);
  if ((is_replaced || turned_cold) && !report.leaving) {
    HeardDoubt& doubt = this->turned_cold[report.region].emplace_back();
    doubt.server = report.name;
    doubt.started = last->started;
    doubt.is_replaced = is_replaced;
  }
  const bool is_news = this->roster.Note(report, now);
  if (this->relay.AddReport(report, now) || is_news) {
    this->SendServerReports(now, effects);
  }
  return effects;
}

ControlEffects ControlNode::TellDoubts(std::vector<HeardDoubt> doubts) {
  ControlEffects effects;
  this->SendDoubts(this->options.self.region, std::move(doubts), effects);
  return effects;
}

void ControlNode::SendDoubts(const RegionName& region,
                             std::vector<HeardDoubt> doubts,
                             ControlEffects& effects) const {
  if (doubts.empty()) {
    return;
  }
  const ServerDoubts message{std::move(doubts)};
  for (const auto& [name, host] : this->state.Hosts()) {
    if (host.region == region && host.IsEntryHost() &&
        name != this->options.self.name) {
      effects.sends.push_back({name, message});
    }
  }
}

ControlEffects ControlNode::ReportRates(const policy::RateReport& report,
                                        TimePoint now) {
  ControlEffects effects;
  if (this->log.IsLeader()) {
    this->HandleRates(this->options.self.name, report, now, effects);
  } else if (!this->Leader().IsEmpty()) {
    effects.sends.push_back({this->Leader(), report});
  }
  return effects;
}

void ControlNode::HandleRates(const HostName& from,
                              const policy::RateReport& report,
                              TimePoint now,
                              ControlEffects& effects) {
  if (!this->log.HasLease(now)) {
    return;
  }
  for (const policy::RateDemand& demand : report.demands) {
    const auto workspace = this->state.Set()->workspaces.find(demand.workspace);
    const bool is_known = workspace != this->state.Set()->workspaces.end();
    this->rates.SetRate(demand.workspace,
                        is_known ? workspace->second.rate : 0);
  }
  policy::RateGrant grant = this->rates.Grant(from, report, now);
  if (from == this->options.self.name) {
    effects.rate_grants.push_back(std::move(grant));
  } else {
    effects.sends.push_back({from, std::move(grant)});
  }
}

ControlEffects ControlNode::ReportCrashes(const policy::CrashReport& report,
                                          TimePoint now) {
  ControlEffects effects;
  if (this->log.IsLeader()) {
    this->HandleCrashes(this->options.self.name, report, now, effects);
  } else if (!this->Leader().IsEmpty()) {
    effects.sends.push_back({this->Leader(), report});
  }
  return effects;
}

void ControlNode::HandleCrashes(const HostName& from,
                                const policy::CrashReport& report,
                                TimePoint now,
                                ControlEffects& effects) {
  if (!this->log.HasLease(now)) {
    return;
  }
  const policy::QuarantineNotice notice = this->judge.Handle(report, now);
  // Other reports are repeated in any case, and their senders learn the
  // decisions from the notices to all hosts.
  if (!report.crashes.empty() || !report.refused.empty()) {
    this->DeliverNotice(from, notice, effects);
  }
  this->LogVerdicts();
}

void ControlNode::DeliverNotice(const HostName& to,
                                const policy::QuarantineNotice& notice,
                                ControlEffects& effects) const {
  if (to == this->options.self.name) {
    effects.quarantine_notices.push_back(notice);
  } else {
    effects.sends.push_back({to, notice});
  }
}

void ControlNode::SendQuarantine(TimePoint now, ControlEffects& effects) {
  if (!this->log.HasLease(now)) {
    return;
  }
  const auto notice = this->judge.Due(now);
  this->LogVerdicts();
  if (!notice) {
    return;
  }
  for (auto& [relay, recipients] : this->NoticeRelays()) {
    if (relay == this->options.self.name) {
      for (const HostName& host : recipients) {
        this->DeliverNotice(host, *notice, effects);
      }
    } else {
      effects.sends.push_back({relay, RelayedNotice{*notice, recipients}});
    }
  }
}

std::map<HostName, std::vector<HostName>> ControlNode::NoticeRelays() const {
  std::map<RegionName, std::vector<HostName>> relays;
  for (const auto& [name, host] : this->state.Hosts()) {
    const auto live = this->state.Live().find(host.region);
    const bool is_live =
        live != this->state.Live().end() && live->second.contains(name);
    if (host.has_disk && is_live && name != this->options.self.name &&
        host.reads_format >= state::kRelayFormat) {
      relays[host.region].push_back(name);
    }
  }
  std::map<HostName, std::vector<HostName>> recipients;
  std::map<RegionName, std::size_t> next;
  for (const HostName& host : this->EntryHosts()) {
    const RegionName& region = this->state.Hosts().at(host).region;
    const std::vector<HostName>& of_region = relays[region];
    const HostName& relay = of_region.empty()
                                ? this->options.self.name
                                : of_region[next[region]++ % of_region.size()];
    recipients[relay].push_back(host);
  }
  return recipients;
}

void ControlNode::LogVerdicts() {
  for (const policy::QuarantineVerdict& verdict : this->judge.TakeVerdicts()) {
    LogEvent(EventOf(verdict.kind), LogLevel::kWarning,
             {{"block", ToHex(verdict.block)},
              {"crashes", std::to_string(verdict.crashes)},
              {"requests", std::to_string(verdict.requests)},
              {"servers", verdict.servers},
              {"age_ms", std::to_string(verdict.age.count())}});
  }
}

void ControlNode::SendServerReports(TimePoint now, ControlEffects& effects) {
  this->relay_at = now + this->options.relay;
  this->roster.Expire(now);
  for (const auto& [region, reports] : this->relay.Due(now)) {
    for (const HostName& keeper : this->RosterKeepers(region)) {
      if (keeper == this->options.self.name) {
        this->HandleServerReports({reports}, now, effects);
      } else {
        effects.sends.push_back({keeper, ServerReports{reports}});
      }
    }
  }
}

std::vector<HostName> ControlNode::RosterKeepers(
    const RegionName& region) const {
  std::vector<HostName> in_region;
  std::vector<HostName> all;
  bool has_live = false;
  for (const auto& [name, host] : this->state.Hosts()) {
    if (!host.has_disk) {
      continue;
    }
    all.push_back(name);
    if (host.region == region) {
      in_region.push_back(name);
      const auto live = this->state.Live().find(region);
      has_live = has_live || (live != this->state.Live().end() &&
                              live->second.contains(name));
    }
  }
  return has_live ? in_region : all;
}

void ControlNode::HandleServerReports(const ServerReports& reports,
                                      TimePoint now,
                                      ControlEffects& effects) {
  if (this->options.self.has_disk) {
    for (const policy::ServerReport& report : reports.reports) {
      this->roster.Note(report, now - report.relayed_for);
    }
  }
  if (this->options.self.IsEntryHost()) {
    effects.servers.insert(effects.servers.end(), reports.reports.begin(),
                           reports.reports.end());
  }
}

void ControlNode::HandleRosterRequest(const HostName& from,
                                      const RosterRequest& request,
                                      TimePoint now,
                                      ControlEffects& effects) {
  if (this->options.self.has_disk) {
    effects.sends.push_back({from, this->roster.Reply(request, now)});
  }
}

void ControlNode::FetchRoster(TimePoint now, ControlEffects& effects) {
  const bool fetches =
      this->options.self.IsEntryHost() && !this->options.self.has_disk;
  if (!fetches || !this->roster_follower.IsDue(now)) {
    return;
  }
  const auto request = this->roster_follower.Due(
      RosterSources(this->options.self, this->state.Hosts(),
                    this->options.seeds, this->LostHosts()),
      now);
  if (request) {
    effects.sends.push_back({request->to, request->request});
  }
}

void ControlNode::StartDrain() {
  this->draining = true;
}

bool ControlNode::IsDraining() const {
  const auto self = this->state.Hosts().find(this->options.self.name);
  return self != this->state.Hosts().end() && self->second.draining &&
         self->second.incarnation == this->options.self.incarnation;
}

std::shared_ptr<const state::Snapshot> ControlNode::MakeSnapshot(
    TimePoint now) const {
  auto snapshot = std::make_shared<state::Snapshot>();
  snapshot->applied = this->state.Applied();
  snapshot->version = this->state.Version();
  snapshot->set = this->state.Set();
  snapshot->set_number = this->state.SetNumber();
  snapshot->paths = this->state.Paths();
  snapshot->document = this->state.Document();
  snapshot->closed_data_centres = this->state.ClosedDataCentres();
  snapshot->data_centre_revisions = this->state.Revisions();
  snapshot->withdrawn = this->state.Withdrawn();
  if (!this->uncommitted_withdrawn.empty()) {
    auto all = std::make_shared<std::set<KeyDigest>>(*this->state.Withdrawn());
    all->insert(this->uncommitted_withdrawn.begin(),
                this->uncommitted_withdrawn.end());
    snapshot->withdrawn = std::move(all);
  }
  snapshot->hosts = this->state.HostTable();
  for (const auto& [region, hosts] : this->state.Live()) {
    snapshot->live.insert(hosts.begin(), hosts.end());
  }
  const RegionName& region = this->options.self.region;
  for (const auto& [name, host] : this->state.Hosts()) {
    snapshot->entry_hosts += host.IsEntryHost() ? 1 : 0;
    // In its own region, a host considers a peer live only if it has recently
    // received a message directly from that peer.
    if (host.region == region && name != this->options.self.name &&
        this->IsSilent(name, now)) {
      snapshot->live.erase(name);
    }
  }
  snapshot->live.insert(this->options.self.name);
  const auto leader_contact = this->LeaderContact(now);
  snapshot->leader_contact = leader_contact.value_or(TimePoint());
  snapshot->contact_source = this->log.HasLease(now) ? this->options.self.name
                                                     : this->follower.Source();
  snapshot->keys_fresh_until =
      leader_contact ? *leader_contact + this->options.key_freshness
                     : TimePoint::min();
  snapshot->changing_shares = this->state.ChangingShares(region);
  const auto slice = this->state.SliceOf(this->options.self.name);
  if (slice && *slice < this->options.slices) {
    snapshot->slice =
        static_cast<TokenCount>(this->options.slice_percent *
                                kBasisPointsPerPercent / this->options.slices);
  }
  snapshot->ready = this->ready;
  return snapshot;
}

void ControlNode::NoteRunning(TimePoint now) {
  if (now - this->last_tick >= kSuspension) {
    this->running_since = now;
  }
  this->last_tick = now;
}

bool ControlNode::IsSilent(const HostName& host, TimePoint now) const {
  // Until this host has run for as long as others may be silent, that it has
  // not heard one says nothing: the leader's view counts.
  const milliseconds limit = this->PeerSilenceLimit();
  return now - this->running_since >= limit &&
         !this->monitor.IsHeard(host, limit, now);
}

std::uint64_t ControlNode::CommitBehind() const {
  return this->log.Commit() -
         std::min(this->log.Commit(), this->state.Applied());
}

const HostName& ControlNode::Leader() const {
  return this->log.Leader().IsEmpty() ? this->follower.Leader()
                                      : this->log.Leader();
}

std::vector<HostName> ControlNode::RegionPeers() const {
  std::vector<HostName> peers;
  for (const auto& [name, host] : this->state.Hosts()) {
    if (host.region == this->options.self.region &&
        name != this->options.self.name) {
      peers.push_back(name);
    }
  }
  return peers;
}

std::set<HostName> ControlNode::EntryHosts() const {
  std::set<HostName> entries;
  for (const auto& [name, host] : this->state.Hosts()) {
    if (host.IsEntryHost()) {
      entries.insert(name);
    }
  }
  return entries;
}

std::set<HostName> ControlNode::RateHolders() const {
  std::set<HostName> holders;
  for (const auto& [name, host] : this->state.Hosts()) {
    if (host.has_disk) {
      holders.insert(name);
    }
  }
  return holders;
}

void ControlNode::ApplyLogEffects(state::LogEffects log_effects,
                                  TimePoint now,
                                  ControlEffects& effects) {
  for (state::LogSend& send : log_effects.sends) {
    effects.sends.push_back({std::move(send.to), std::move(send.message)});
  }
  for (state::LogBatch& batch : log_effects.batches) {
    effects.log_batches.push_back(std::move(batch));
  }
  for (const state::WithheldVote& vote : log_effects.withheld) {
    LogEvent(Event::kVoteWithheld, LogLevel::kInfo,
             {{"candidate", vote.candidate.Text()},
              {"term", std::to_string(vote.term)},
              {"pre_vote", vote.is_pre_vote ? "yes" : "no"},
              {"reason", std::string(RefusalName(vote.refusal))}});
  }
  if (log_effects.failed_election) {
    this->voter_log.NoteFailedElection(*log_effects.failed_election,
                                       this->log.Voters());
  }
  if (log_effects.resigned_after) {
    LogEvent(Event::kLeaderResigned, LogLevel::kWarning,
             {{"host", this->options.self.name.Text()},
              {"term", std::to_string(this->log.CurrentTerm())},
              {"waiting_ms", MillisecondsText(*log_effects.resigned_after)}});
  }
  this->voter_log.NoteVoters(this->log.Voters(), this->Leader());
  if (log_effects.installed) {
    this->InstallSnapshot(*log_effects.installed, now, effects);
  }
  if (!log_effects.committed.empty()) {
    this->ApplyEntries(log_effects.committed, now, effects);
    this->CompactLog(effects, now);
  }
  if (this->log.IsLeader() && !this->was_leader) {
    this->was_leader = true;
    this->leader_tasks.StartTerm(now);
    this->voter_keeper.StartTerm(now);
    this->rates.StartTerm(this->RateHolders(), now);
    this->judge.StartTerm(this->log.CurrentTerm(), now);
    this->pending_tasks.clear();
    this->proposals.ClearForwarded();
    this->appended_set = 0;
    this->appended_set_index = 0;
    LogEvent(Event::kLeaderElected, LogLevel::kInfo,
             {{"host", this->options.self.name.Text()},
              {"term", std::to_string(this->log.CurrentTerm())},
              {"since_start_ms", MillisecondsText(now - this->started)}});
  }
}

void ControlNode::ApplyLedgerEffects(state::LedgerEffects ledger_effects,
                                     TimePoint now,
                                     ControlEffects& effects) {
  for (state::LedgerBatch& batch : ledger_effects.batches) {
    effects.ledger_batches.push_back(std::move(batch));
  }
  for (state::LedgerSend& send : ledger_effects.sends) {
    this->Deliver(send.to, std::move(send.message), now, effects);
  }
}

void ControlNode::ApplyEntries(const std::vector<state::LogEntry>& entries,
                               TimePoint now,
                               ControlEffects& effects) {
  // Compared once for all entries: when many hosts return at once, each of them
  // has an entry.
  const auto hosts = this->state.HostTable();
  const auto live = this->state.Live();
  const bool was_ready = this->ready;
  for (const state::LogEntry& entry : entries) {
    this->ApplyEntry(entry, now, effects);
  }
  if (was_ready) {
    this->LogHostChanges(*hosts, live);
  }
  this->AfterApply(now, effects);
}

void ControlNode::ApplyEntry(const state::LogEntry& entry,
                             TimePoint now,
                             ControlEffects& effects) {
  // The log and the feed deliver the same entries; each is applied once.
  if (entry.index != this->state.Applied() + 1) {
    return;
  }
  state::ApplyOutcome outcome;
  if (entry.kind == state::EntryKind::kChange) {
    const SetVersion before = this->state.Version();
    const auto withdrawn = this->state.Withdrawn();
    outcome = this->state.Apply(entry.index, entry.payload);
    for (const KeyDigest& digest : *this->state.Withdrawn()) {
      if (withdrawn != this->state.Withdrawn() &&
          !withdrawn->contains(digest)) {
        effects.withdrawn.push_back(digest);
        this->uncommitted_withdrawn.erase(digest);
      }
    }
    if (this->ready && this->state.Version() != before) {
      LogEvent(Event::kSetApplied, LogLevel::kInfo,
               {{"host", this->options.self.name.Text()},
                {"version", std::to_string(this->state.Version())}});
    }
  } else {
    this->state.Skip(entry.index);
  }
  this->feed.Keep(entry);
  this->FinishProposals(entry, outcome, effects);
  this->ApplyView(now, effects);
  effects.snapshot_changed = true;
}

void ControlNode::LogHostChanges(
    const std::map<HostName, state::HostRecord>& hosts,
    const std::map<RegionName, std::set<HostName>>& live) const {
  for (const auto& [name, host] : this->state.Hosts()) {
    const auto known = hosts.find(name);
    if (known == hosts.end() || known->second.incarnation != host.incarnation) {
      LogEvent(Event::kHostJoined, LogLevel::kInfo, {{"joined", name.Text()}});
    }
  }
  for (const auto& [region, before] : live) {
    for (const HostName& host : before) {
      if (!this->state.Live().at(region).contains(host)) {
        LogEvent(Event::kHostLost, LogLevel::kWarning, {{"lost", host.Text()}});
      }
    }
  }
}

void ControlNode::ApplyView(TimePoint now, ControlEffects& effects) {
  const auto view = this->state.Views().find(this->options.self.region);
  if (view == this->state.Views().end() ||
      view->second.epoch <= this->ledger.View().epoch) {
    return;
  }
  LogEvent(Event::kLedgerViewChanged, LogLevel::kInfo,
           {{"epoch", std::to_string(view->second.epoch)},
            {"coordinator", view->second.coordinator.Text()}});
  if (this->allocator.SetView(view->second, now)) {
    LogEvent(Event::kAllocatorStarted, LogLevel::kInfo,
             {{"host", this->options.self.name.Text()}});
  }
  this->ApplyLedgerEffects(this->ledger.SetView(view->second, now), now,
                           effects);
}

void ControlNode::InstallSnapshot(const state::LogSnapshot& snapshot,
                                  TimePoint now,
                                  ControlEffects& effects) {
  if (snapshot.index <= this->state.Applied()) {
    return;
  }
  auto decoded = state::ControlState::Decode(snapshot.state);
  if (!decoded) {
    return;
  }
  const auto before = this->state.Withdrawn();
  this->state = std::move(*decoded);
  this->state.Skip(snapshot.index);
  for (const KeyDigest& digest : *this->state.Withdrawn()) {
    if (!before->contains(digest)) {
      effects.withdrawn.push_back(digest);
    }
  }
  this->feed.Clear();
  this->AfterApply(now, effects);
  effects.snapshot_changed = true;
}

void ControlNode::AfterApply(TimePoint now, ControlEffects& effects) {
  if (this->kept_hosts != this->state.HostTable()) {
    this->kept_hosts = this->state.HostTable();
    this->voter_keeper.NoteHosts(this->state.Hosts(), now);
  }
  this->ApplyView(now, effects);
  for (ChangeDone& done : this->proposals.FinishKnown(this->state)) {
    effects.changes.push_back(std::move(done));
  }
  for (FeedUpdate& update : this->feed.PendingUpdates(this->Knowledge(now))) {
    effects.sends.push_back({update.to, std::move(update.reply)});
  }
}

void ControlNode::FinishProposals(const state::LogEntry& entry,
                                  const state::ApplyOutcome& outcome,
                                  ControlEffects& effects) {
  const auto own = this->proposals.Finish(entry);
  if (own) {
    effects.changes.push_back({*own, outcome});
  }
  const auto remote = this->proposals.FinishForwarded(entry);
  if (remote) {
    // For hosts of the former build; others recognise their entries.
    effects.sends.push_back(
        {remote->from, ProposeReply{remote->number, outcome}});
  }
}

void ControlNode::Deliver(const HostName& to,
                          PeerMessage message,
                          TimePoint now,
                          ControlEffects& effects) {
  if (to != this->options.self.name) {
    effects.sends.push_back({to, std::move(message)});
    return;
  }
  if (const auto* ledger_message =
          std::get_if<state::LedgerMessage>(&message)) {
    this->HandleLedger(to, *ledger_message, now, effects);
  } else {
    this->HandleChunkOrProbe(to, message, now, effects);
  }
}

void ControlNode::HandleFeedRequest(const HostName& from,
                                    const FeedRequest& request,
                                    TimePoint now,
                                    ControlEffects& effects) {
  for (const HostStatus& status : request.statuses) {
    this->monitor.NoteStatus(status, now - status.age);
  }
  FeedReply reply =
      this->feed.HandleRequest(from, request, this->Knowledge(now));
  if (this->log.HasLease(now) && this->log.Voters().contains(from)) {
    reply.silences = this->voter_keeper.Report(now);
  }
  effects.sends.push_back({from, std::move(reply)});
}

void ControlNode::HandleFeedReply(const HostName& from,
                                  const FeedReply& reply,
                                  TimePoint now,
                                  ControlEffects& effects) {
  const LogIndex before = this->state.Applied();
  if (reply.snapshot) {
    this->InstallSnapshot(*reply.snapshot, now, effects);
  }
  if (!reply.entries.empty()) {
    this->ApplyEntries(reply.entries, now, effects);
  }
  if (this->follower.HandleReply(from, reply, this->state.Applied(), now)) {
    this->source_replied_at = now;
    if (!reply.silences.empty() && from == this->Leader()) {
      this->voter_keeper.NoteReport(from, reply.silences, now);
    }
    const state::HostRecord* host = this->FindHost(from);
    this->region_replied =
        this->region_replied ||
        (host != nullptr && host->region == this->options.self.region);
  }
  const bool is_announced = reply.number == 0 && !this->ready;
  if (is_announced) {
    this->follower.NoteLeader(reply.leader);
  }
  const bool is_behind = this->state.Applied() < reply.commit &&
                         (reply.number != 0 || is_announced);
  // Without progress, asking for the same again at once would not end.
  const bool may_advance = this->state.Applied() > before ||
                           (!reply.snapshot && reply.entries.empty());
  if (is_behind && may_advance) {
    if (this->follower.AwaitsEntries(now)) {
      this->source_ahead = from;
    } else {
      this->RequestEntries(from, now, effects);
    }
  }
  const auto leader_contact = this->LeaderContact(now);
  if (leader_contact) {
    this->allocator.NoteLeaderContact(*leader_contact);
  }
}

void ControlNode::HandlePropose(const HostName& from,
                                const ProposeRequest& request,
                                TimePoint now,
                                ControlEffects& effects) {
  if (!this->log.IsLeader() || this->IsSetOvertaken(request.set_number)) {
    return;
  }
  const ForwardedProposal proposal{from, request.number,
                                   Sha256Prefix(request.payload)};
  if (this->proposals.IsForwardedOpen(proposal)) {
    return;
  }
  state::LogEffects log_effects;
  const auto index = this->log.Propose(request.payload, now, log_effects);
  if (index) {
    this->proposals.NoteForwarded(*index, this->log.CurrentTerm(), proposal);
    this->NoteSetAppended(request.set_number, *index);
  }
  this->ApplyLogEffects(std::move(log_effects), now, effects);
}

bool ControlNode::IsSetOvertaken(std::uint64_t number) const {
  if (number == 0) {
    return false;
  }
  const bool is_under_way = number <= this->appended_set &&
                            this->appended_set_index > this->state.Applied();
  return is_under_way || number <= this->state.SetNumber();
}

void ControlNode::NoteSetAppended(std::uint64_t number, LogIndex index) {
  if (number != 0) {
    this->appended_set = number;
    this->appended_set_index = index;
  }
}

void ControlNode::HandleWithdrawal(const HostName& from,
                                   const WithdrawalNotice& notice,
                                   TimePoint now,
                                   ControlEffects& effects) {
  std::vector<KeyDigest> new_digests;
  for (const KeyDigest& digest : notice.digests) {
    const bool is_known = this->uncommitted_withdrawn.contains(digest) ||
                          this->state.Withdrawn()->contains(digest);
    if (!is_known) {
      new_digests.push_back(digest);
      this->uncommitted_withdrawn.insert(digest);
      effects.withdrawn.push_back(digest);
    }
  }
  if (new_digests.empty()) {
    return;
  }
  effects.snapshot_changed = true;
  for (const auto& [name, host] : this->state.Hosts()) {
    if (name != from && name != this->options.self.name) {
      effects.sends.push_back({name, WithdrawalNotice{new_digests}});
    }
  }
  this->Propose(state::WithdrawKeys{new_digests}, now, effects);
}

void ControlNode::HandleRegionStatus(const HostName& from,
                                     const RegionStatus& status,
                                     ControlEffects& effects) {
  this->status_received[from] = status.number;
  auto& sent = this->status_sent[from];
  const auto echoed = sent.find(status.echo);
  if (echoed != sent.end()) {
    this->allocator.NoteConfirmed(from, status.epoch, echoed->second);
    sent.erase(sent.begin(), std::next(echoed));
  }
  effects.status_updates.push_back({from, status});
}

void ControlNode::HandleLedger(const HostName& from,
                               const state::LedgerMessage& message,
                               TimePoint now,
                               ControlEffects& effects) {
  if (const auto* permit = std::get_if<state::PermitReply>(&message)) {
    if (this->client.HandlePermit(*permit, now)) {
      effects.permits.push_back(*permit);
    }
    return;
  }
  if (const auto* updated = std::get_if<state::LedgerUpdated>(&message)) {
    this->client.HandleUpdated(*updated);
    return;
  }
  this->ApplyLedgerEffects(this->ledger.Receive(from, message, now), now,
                           effects);
}

void ControlNode::HandleChunkOrProbe(const HostName& from,
                                     const PeerMessage& message,
                                     TimePoint now,
                                     ControlEffects& effects) {
  if (const auto* grant = std::get_if<policy::ChunkGrant>(&message)) {
    effects.grants.push_back(*grant);
    return;
  }
  const std::uint64_t incarnation = this->IncarnationOf(from);
  if (const auto* request = std::get_if<policy::ChunkRequest>(&message)) {
    const policy::ChunkGrant grant = this->allocator.Grant(
        {from, incarnation, request->chunk}, *request, this->state, now);
    this->Deliver(from, grant, now, effects);
  } else if (const auto* settled =
                 std::get_if<policy::ChunkSettled>(&message)) {
    this->allocator.Settle({from, incarnation, settled->chunk}, *settled, now);
  } else if (const auto* probe = std::get_if<ProbeRequest>(&message)) {
    ProbeReply reply;
    reply.number = probe->number;
    reply.region = this->options.self.region;
    reply.loads = this->region_loads;
    reply.links_down = this->region_status.links_down;
    effects.sends.push_back({from, std::move(reply)});
  } else if (const auto* probe_reply = std::get_if<ProbeReply>(&message)) {
    effects.probes.push_back({from, *probe_reply});
  }
}

void ControlNode::HandleStatusRequest(const HostName& from,
                                      const StatusRequest& request,
                                      TimePoint now,
                                      ControlEffects& effects) {
  if (!this->log.IsLeader()) {
    return;
  }
  StatusReply reply;
  reply.number = request.number;
  reply.leader = this->options.self.name;
  reply.version = this->state.Version();
  reply.voters.assign(this->log.Voters().begin(), this->log.Voters().end());
  this->monitor.NoteStatus(this->OwnStatus(), now);
  for (const auto& [name, host] : this->state.Hosts()) {
    const HostStatus* status = this->monitor.StatusOf(name);
    reply.hosts.push_back({name, status == nullptr ? 0 : status->version,
                           this->monitor.IsLive(name, now)});
  }
  reply.voter_health = this->FindVoterHealth(now);
  if (from == this->options.self.name) {
    effects.statuses.push_back(std::move(reply));
  } else {
    effects.sends.push_back({from, std::move(reply)});
  }
}

std::optional<VoterHealth> ControlNode::FindVoterHealth(TimePoint now) {
  if (!this->log.HasLease(now)) {
    return std::nullopt;
  }
  this->voter_keeper.NoteReplies(this->log.LastReplies(), now);
  return this->voter_keeper.Health(this->log.Voters(), this->log.Joining(),
                                   now);
}

void ControlNode::SendReports(TimePoint now, ControlEffects& effects) {
  this->monitor.NoteStatus(this->OwnStatus(), now);
  this->SendFeedRequest(now, effects);
  this->AnnounceLeader(now, effects);
  if (now >= this->region_report_at) {
    this->ReportToRegion(now, effects);
  }
  this->feed.DropSilent(now - this->options.host_lost);
  if (!this->uncommitted_withdrawn.empty() && !this->Leader().IsEmpty()) {
    // Withdrawals are final, so proposing one twice is harmless.
    if (!this->proposals.HasOpen()) {
      this->Propose(state::WithdrawKeys{{this->uncommitted_withdrawn.begin(),
                                         this->uncommitted_withdrawn.end()}},
                    now, effects);
    }
  }
}

void ControlNode::ReportToRegion(TimePoint now, ControlEffects& effects) {
  const std::vector<HostName> peers = this->RegionPeers();
  // Scale the interval with the region's size, so that each host sends its
  // peers about the same number of messages per second in total.
  const auto interval_factor =
      std::max<std::size_t>(1, peers.size() / kPeersPerInterval);
  this->region_report_interval =
      this->options.report * static_cast<std::int64_t>(interval_factor);
  this->region_report_at = now + this->region_report_interval;
  const auto view = this->state.Views().find(this->options.self.region);
  RegionStatus status = this->region_status;
  status.epoch = view == this->state.Views().end() ? 0 : view->second.epoch;
  status.draining = this->draining;
  const auto waited = std::chrono::floor<milliseconds>(now - this->doubts_at);
  for (HeardDoubt& doubt : status.doubts) {
    doubt.first_age += waited;
    doubt.last_age += waited;
  }
  for (const HostName& peer : peers) {
    const auto last =
        this->status_number.try_emplace(peer, this->options.self.incarnation);
    status.number = ++last.first->second;
    status.echo = this->status_received[peer];
    auto& sent = this->status_sent[peer];
    sent[status.number] = now;
    if (sent.size() > kMaxUnechoedReports) {
      sent.erase(sent.begin());
    }
    effects.sends.push_back({peer, status});
  }
  // Served tokens and server reports are sent once; loads are sent every time.
  this->region_status.servers.clear();
  this->region_status.served.clear();
}

milliseconds ControlNode::PeerSilenceLimit() const {
  return std::max(this->options.host_lost, 2 * this->region_report_interval);
}

void ControlNode::SendFeedRequest(TimePoint now, ControlEffects& effects) {
  if (this->log.IsLeader()) {
    return;
  }
  std::vector<HostName> sources = this->Sources();
  if (sources.empty()) {
    return;
  }
  if (this->ready) {
    const HostName& source =
        this->follower.Choose(sources, this->Leader(), now);
    this->LogSource(source, now);
    if (this->follower.IsNewSource()) {
      this->RequestEntries(source, now, effects);
    } else {
      this->SendProbe(source, this->follower.MakeProbe(source, now), now,
                      effects);
    }
    const auto better = this->follower.ProbeBetter(sources, now);
    if (better) {
      this->SendProbe(*better, this->follower.MakeBetterProbe(*better, now),
                      now, effects);
    }
    return;
  }
  if (this->Leader().IsEmpty()) {
    // Hosts that start together begin with different sources.
    const std::size_t first =
        std::hash<std::string>{}(this->options.self.name.Text()) %
        sources.size();
    std::rotate(sources.begin(),
                sources.begin() + static_cast<std::ptrdiff_t>(first),
                sources.end());
  }
  const HostName& source = this->follower.Choose(sources, this->Leader(), now);
  if (!this->follower.AwaitsEntries(now)) {
    // The source may be down, while another has said that it has entries.
    const HostName ahead = std::exchange(this->source_ahead, HostName());
    this->RequestEntries(ahead.IsEmpty() ? source : ahead, now, effects);
  }
  // A starting host asks all sources how far they are, so that it does not
  // begin to serve with an older state than its region has.
  const std::size_t probes = std::min(sources.size(), kMaxProbedSources);
  for (std::size_t i = 0; i < probes; ++i) {
    const HostName& probed = sources[this->probed_sources++ % sources.size()];
    if (probed != source) {
      this->SendProbe(probed, this->follower.MakeProbe(probed, now), now,
                      effects);
    }
  }
  this->probed_all = this->probed_all || this->probed_sources >= sources.size();
}

void ControlNode::LogSource(const HostName& source, TimePoint now) {
  if (source == this->logged_source) {
    return;
  }
  const auto contact = this->follower.LeaderContact();
  LogEvent(Event::kFeedSourceChanged, LogLevel::kInfo,
           {{"from", this->logged_source.Text()},
            {"to", source.Text()},
            {"leader", this->Leader().Text()},
            {"applied", std::to_string(this->state.Applied())},
            {"commit", std::to_string(this->follower.Commit())},
            {"silent_ms", MillisecondsText(now - this->source_replied_at)},
            {"contact_ms", contact ? MillisecondsText(now - *contact) : ""}});
  this->logged_source = source;
}

void ControlNode::RequestEntries(const HostName& source,
                                 TimePoint now,
                                 ControlEffects& effects) {
  FeedRequest request =
      this->follower.MakeRequest(source, this->state.Applied() + 1, now);
  request.statuses = this->monitor.Recent(now);
  effects.sends.push_back({source, std::move(request)});
}

void ControlNode::SendProbe(const HostName& to,
                            FeedRequest probe,
                            TimePoint now,
                            ControlEffects& effects) const {
  probe.statuses = this->monitor.Recent(now);
  effects.sends.push_back({to, std::move(probe)});
}

void ControlNode::AnnounceLeader(TimePoint now, ControlEffects& effects) const {
  if (!this->log.HasLease(now)) {
    return;
  }
  // A host that has lost its state asks its seeds, which may have lost theirs.
  FeedReply announcement;
  announcement.commit = this->state.Applied();
  announcement.leader = this->options.self.name;
  announcement.leader_contact_age = milliseconds(0);
  for (const auto& [name, host] : this->state.Hosts()) {
    const bool is_self = name == this->options.self.name;
    if (host.has_disk && !is_self &&
        !this->monitor.IsHeard(name, this->options.host_lost, now)) {
      effects.sends.push_back({name, announcement});
    }
  }
}

FeedKnowledge ControlNode::Knowledge(TimePoint now) const {
  return {this->state, this->Leader(), this->LeaderContact(now), now};
}

void ControlNode::RunLeaderTasks(TimePoint now, ControlEffects& effects) {
  if (!this->log.HasLease(now) ||
      this->state.Applied() < this->log.SnapshotIndex()) {
    return;
  }
  std::vector<std::string> payloads;
  for (const state::ControlChange& change :
       this->leader_tasks.Due(this->state, this->monitor, now)) {
    std::string payload = state::EncodeChange(change);
    const auto pending = this->pending_tasks.find(payload);
    if (pending == this->pending_tasks.end() ||
        pending->second <= this->state.Applied()) {
      payloads.push_back(std::move(payload));
    }
  }
  if (!payloads.empty()) {
    state::LogEffects log_effects;
    const auto first = this->log.ProposeAll(payloads, now, log_effects);
    for (std::size_t i = 0; first && i < payloads.size(); ++i) {
      this->pending_tasks[std::move(payloads[i])] = *first + i;
    }
    this->ApplyLogEffects(std::move(log_effects), now, effects);
  }
  std::erase_if(this->pending_tasks, [&](const auto& entry) {
    return entry.second <= this->state.Applied();
  });
  this->ChangeVoters(now, effects);
}

void ControlNode::ChangeVoters(TimePoint now, ControlEffects& effects) {
  this->voter_keeper.NoteReplies(this->log.LastReplies(), now);
  this->voter_log.NoteLost(this->voter_keeper.LostVoters(now));
  state::LogEffects log_effects;
  const HostName joining = this->log.Joining();
  const milliseconds join_wait = this->voter_keeper.JoinWait(
      joining, this->log.Voters(), this->state, this->monitor, now);
  if (this->log.IsJoiningSilentSince(now - join_wait)) {
    // Otherwise no voter could be replaced until the host is back.
    static_cast<void>(this->log.RemoveVoter(joining, now, log_effects));
    this->voter_keeper.NoteGivenUp(joining);
  }
  const VoterPlan plan = this->voter_keeper.NextChange(
      this->log.Voters(), this->state, this->monitor, now);
  if (!plan.remove.IsEmpty()) {
    static_cast<void>(this->log.RemoveVoter(plan.remove, now, log_effects));
  } else if (!plan.add.IsEmpty() && this->log.Joining().IsEmpty()) {
    static_cast<void>(this->log.AddVoter(plan.add, now, log_effects));
  }
  this->voter_log.NoteJoining(this->log.Joining());
  this->ApplyLogEffects(std::move(log_effects), now, effects);
}

void ControlNode::CompactLog(ControlEffects& effects, TimePoint now) {
  const LogIndex applied = this->state.Applied();
  const bool is_long =
      applied >= this->log.SnapshotIndex() + this->options.compact_after ||
      this->log.PayloadBytes() >= this->options.compact_after_bytes;
  if (!is_long || applied > this->log.Commit()) {
    return;
  }
  this->ApplyLogEffects(this->log.Compact(applied, this->state.Encode(), now),
                        now, effects);
}

void ControlNode::ResendProposals(TimePoint now, ControlEffects& effects) {
  for (const std::uint64_t number : this->proposals.Due(now)) {
    // This proposal may have been completed while an earlier one was sent.
    if (this->proposals.IsOpen(number)) {
      this->SendProposal(number, now, effects);
    }
  }
}

void ControlNode::SendProposal(std::uint64_t number,
                               TimePoint now,
                               ControlEffects& effects) {
  const std::string payload = this->proposals.PayloadOf(number);
  const auto* replace =
      std::get_if<state::ReplaceSet>(&this->proposals.ChangeOf(number));
  const std::uint64_t set_number = replace == nullptr ? 0 : replace->number;
  if (!this->log.IsLeader()) {
    this->proposals.SetIndex(number, 0);
    if (!this->Leader().IsEmpty()) {
      effects.sends.push_back(
          {this->Leader(), ProposeRequest{number, payload, set_number}});
    }
    return;
  }
  if (this->proposals.IndexOf(number) > this->state.Applied() ||
      this->IsSetOvertaken(set_number)) {
    return;
  }
  state::LogEffects log_effects;
  const auto index = this->log.Propose(payload, now, log_effects);
  if (index) {
    this->proposals.SetIndex(number, *index);
    this->NoteSetAppended(set_number, *index);
  }
  this->ApplyLogEffects(std::move(log_effects), now, effects);
}

void ControlNode::WatchLeaderContact(TimePoint now) {
  const auto leader_contact = this->LeaderContact(now);
  const bool has_leader_contact =
      leader_contact && now - *leader_contact <= this->options.key_freshness;
  if (has_leader_contact) {
    if (!this->had_leader_contact) {
      this->had_leader_contact = true;
      LogEvent(Event::kLeaderFound, LogLevel::kInfo,
               {{"leader", this->Leader().Text()},
                {"since_start_ms", MillisecondsText(now - this->started)},
                {"applied", std::to_string(this->state.Applied())}});
    }
    if (this->contact_lost_at) {
      LogEvent(Event::kWordRegained, LogLevel::kInfo,
               {{"leader", this->Leader().Text()},
                {"gone_ms", MillisecondsText(now - *this->contact_lost_at)}});
    }
    this->contact_lost_at.reset();
  } else if (this->ready && !this->contact_lost_at) {
    this->contact_lost_at = now;
    LogEvent(Event::kWordLost, LogLevel::kWarning,
             {{"leader", this->Leader().Text()},
              {"set", std::to_string(this->state.SetNumber())}});
  }
}

void ControlNode::UpdateReady(TimePoint now, ControlEffects& effects) {
  if (this->ready) {
    return;
  }
  const state::HostRecord* self = this->FindHost(this->options.self.name);
  const bool is_listed =
      self != nullptr &&
      this->state.Hosts().contains(this->options.self.name) &&
      self->incarnation == this->options.self.incarnation;
  const auto leader_contact = this->LeaderContact(now);
  const bool is_fresh = leader_contact &&
                        now - *leader_contact < this->options.key_freshness &&
                        this->state.Applied() >= this->follower.Commit();
  // Without recent leader contact, a host becomes ready after catch_up_wait if
  // it has the newest state known in this region.
  const bool is_region_caught_up =
      now - this->started >= this->options.catch_up_wait &&
      this->region_replied && this->probed_all &&
      this->state.Applied() >= this->follower.Commit() &&
      this->state.Applied() > 0;
  if ((is_listed && is_fresh) || is_region_caught_up) {
    this->ready = true;
    effects.snapshot_changed = true;
  }
}

HostStatus ControlNode::OwnStatus() const {
  HostStatus status;
  status.record = this->options.self;
  status.record.draining = this->draining;
  status.applied = this->state.Applied();
  status.version = this->state.Version();
  status.synced_epoch = this->ledger.SyncedEpoch();
  return status;
}

std::vector<HostName> ControlNode::Sources() const {
  SourceInput input;
  input.self = this->options.self;
  input.is_voter = this->log.IsVoter();
  input.ready = this->ready;
  input.leader = this->Leader();
  input.voters = this->log.Voters();
  input.hosts = this->options.seeds;
  for (const auto& [name, host] : this->state.Hosts()) {
    std::erase_if(input.hosts, [&](const state::HostRecord& seed) {
      return seed.name == name;
    });
    input.hosts.push_back(host);
  }
  input.lost = this->LostHosts();
  return PlanSources(input);
}

std::set<HostName> ControlNode::LostHosts() const {
  std::set<HostName> lost;
  for (const auto& [name, host] : this->state.Hosts()) {
    const auto live = this->state.Live().find(host.region);
    if (live != this->state.Live().end() && !live->second.contains(name)) {
      lost.insert(name);
    }
  }
  return lost;
}

std::optional<TimePoint> ControlNode::LeaderContact(TimePoint now) const {
  // Only replies to this host's own requests prove how recent the contact is:
  // an append may have waited in a socket while this host was suspended.
  return std::max(this->follower.LeaderContact(), this->log.CurrentAsOf(now));
}

bool ControlNode::IsAlive(const state::PermitRequestId& id) const {
  const auto host = this->state.Hosts().find(id.host);
  return host != this->state.Hosts().end() &&
         host->second.incarnation == id.incarnation;
}

std::uint64_t ControlNode::IncarnationOf(const HostName& host) const {
  const auto found = this->state.Hosts().find(host);
  return found == this->state.Hosts().end() ? 0 : found->second.incarnation;
}

const state::HostRecord* ControlNode::FindHost(const HostName& host) const {
  const auto found = this->state.Hosts().find(host);
  if (found != this->state.Hosts().end()) {
    return &found->second;
  }
  for (const state::HostRecord& seed : this->options.seeds) {
    if (seed.name == host) {
      return &seed;
    }
  }
  return nullptr;
}

}  // namespace tamarackwing::control
