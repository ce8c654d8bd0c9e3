#include "wire_codec.h"

#include <algorithm>
#include <string>
#include <utility>

namespace tamarackwing::hosts {
namespace {

using control::PeerMessage;
using std::chrono::milliseconds;

capnp::Data::Reader ToData(const std::string& text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

capnp::Text::Reader ToText(const std::string& text) {
  return {text.c_str(), text.size()};
}

std::string ToString(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

std::string ToString(capnp::Data::Reader bytes) {
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

//! Converts `value` to an enumerator. Clears `valid` if `value` exceeds `last`.
template <typename Enum>
Enum ReadEnum(std::uint8_t value, Enum last, bool& valid) {
  if (value > static_cast<std::uint8_t>(last)) {
    valid = false;
    return Enum();
  }
  return static_cast<Enum>(value);
}

template <typename Names, typename Builder>
void WriteNames(const Names& names, Builder out) {
  unsigned i = 0;
  for (const auto& name : names) {
    out.set(i++, ToText(name.Text()));
  }
}

template <typename Id>
std::vector<Id> ReadNames(capnp::List<capnp::Text>::Reader in) {
  std::vector<Id> names;
  for (const auto name : in) {
    names.emplace_back(ToString(name));
  }
  return names;
}

void WriteNumbers(const std::vector<std::uint64_t>& numbers,
                  capnp::List<std::uint64_t>::Builder out) {
  for (unsigned i = 0; i < numbers.size(); ++i) {
    out.set(i, numbers[i]);
  }
}

std::vector<std::uint64_t> ReadNumbers(capnp::List<std::uint64_t>::Reader in) {
  std::vector<std::uint64_t> numbers;
  numbers.reserve(in.size());
  for (const std::uint64_t number : in) {
    numbers.push_back(number);
  }
  return numbers;
}

std::set<HostName> ReadHostSet(capnp::List<capnp::Text>::Reader in) {
  std::set<HostName> names;
  for (const auto name : in) {
    names.insert(HostName(ToString(name)));
  }
  return names;
}

//! Returns a time span of a peer, bounded so that sums cannot overflow.
milliseconds ReadSpan(std::int64_t ms) {
  constexpr std::int64_t kMaxMs = 86'400'000;
  return milliseconds(std::clamp<std::int64_t>(ms, 0, kMaxMs));
}

void Write(const state::LogEntry& entry, wire::LogEntry::Builder out) {
  out.setIndex(entry.index);
  out.setTerm(entry.term);
  out.setKind(static_cast<std::uint8_t>(entry.kind));
  out.setPayload(ToData(entry.payload));
  WriteNames(entry.voters,
             out.initVoters(static_cast<unsigned>(entry.voters.size())));
}

state::LogEntry Read(wire::LogEntry::Reader in, bool& valid) {
  state::LogEntry entry;
  entry.index = in.getIndex();
  entry.term = in.getTerm();
  entry.kind = ReadEnum(in.getKind(), state::EntryKind::kVoters, valid);
  entry.payload = ToString(in.getPayload());
  entry.voters = ReadHostSet(in.getVoters());
  return entry;
}

std::vector<state::LogEntry> ReadEntries(capnp::List<wire::LogEntry>::Reader in,
                                         bool& valid) {
  std::vector<state::LogEntry> entries;
  for (const auto entry : in) {
    entries.push_back(Read(entry, valid));
  }
  return entries;
}

void Write(const state::LogSnapshot& snapshot, wire::LogSnapshot::Builder out) {
  out.setIndex(snapshot.index);
  out.setTerm(snapshot.term);
  WriteNames(snapshot.voters,
             out.initVoters(static_cast<unsigned>(snapshot.voters.size())));
  out.setState(ToData(snapshot.state));
}

state::LogSnapshot Read(wire::LogSnapshot::Reader in) {
  return {in.getIndex(), in.getTerm(), ReadHostSet(in.getVoters()),
          ToString(in.getState())};
}

void Write(const state::PermitRequestId& id, wire::AskId::Builder out) {
  out.setHost(ToText(id.host.Text()));
  out.setIncarnation(id.incarnation);
  out.setNumber(id.number);
}

state::PermitRequestId Read(wire::AskId::Reader in) {
  return {HostName(ToString(in.getHost())), in.getIncarnation(),
          in.getNumber()};
}

void Write(const state::StoredAnswer& answer, wire::StoredAnswer::Builder out) {
  out.setStatus(answer.status);
  out.setContentType(ToText(answer.content_type));
  out.setBody(ToData(answer.body));
}

state::StoredAnswer Read(wire::StoredAnswer::Reader in) {
  return {in.getStatus(), ToString(in.getContentType()),
          ToString(in.getBody())};
}

void Write(const state::OperationRecord& record,
           wire::OperationRecord::Builder out) {
  out.setOperation(ToText(record.operation.Text()));
  out.setState(static_cast<std::uint8_t>(record.state));
  Write(record.holder, out.initHolder());
  Write(record.answer, out.initAnswer());
}

state::OperationRecord Read(wire::OperationRecord::Reader in, bool& valid) {
  state::OperationRecord record;
  record.operation = OperationId(ToString(in.getOperation()));
  record.state =
      ReadEnum(in.getState(), state::OperationState::kReleased, valid);
  record.holder = Read(in.getHolder());
  record.answer = Read(in.getAnswer());
  return record;
}

void Write(const state::HostRecord& host, wire::HostRecord::Builder out) {
  out.setName(ToText(host.name.Text()));
  out.setRegion(ToText(host.region.Text()));
  out.setDataCentre(ToText(host.data_centre.Text()));
  out.setCallerAddress(ToText(host.caller_address));
  out.setCallerPort(host.caller_port);
  out.setPeerAddress(ToText(host.peer_address));
  out.setPeerPort(host.peer_port);
  out.setForwardPort(host.forward_port);
  out.setHasDisk(host.has_disk);
  out.setIncarnation(host.incarnation);
  out.setDraining(host.draining);
  out.setReadsFormat(host.reads_format);
}

state::HostRecord Read(wire::HostRecord::Reader in) {
  state::HostRecord host;
  host.name = HostName(ToString(in.getName()));
  host.region = RegionName(ToString(in.getRegion()));
  host.data_centre = DataCentreName(ToString(in.getDataCentre()));
  host.caller_address = ToString(in.getCallerAddress());
  host.caller_port = in.getCallerPort();
  host.peer_address = ToString(in.getPeerAddress());
  host.peer_port = in.getPeerPort();
  host.forward_port = in.getForwardPort();
  host.has_disk = in.getHasDisk();
  host.incarnation = in.getIncarnation();
  host.draining = in.getDraining();
  host.reads_format = in.getReadsFormat();
  return host;
}

void Write(const control::HostStatus& status, wire::HostStatus::Builder out) {
  Write(status.record, out.initRecord());
  out.setApplied(status.applied);
  out.setVersion(status.version);
  out.setSyncedEpoch(status.synced_epoch);
  out.setAgeMs(status.age.count());
}

control::HostStatus Read(wire::HostStatus::Reader in) {
  return {Read(in.getRecord()), in.getApplied(), in.getVersion(),
          in.getSyncedEpoch(), milliseconds(in.getAgeMs())};
}

void Write(const control::VoterSilence& voter,
           wire::VoterSilence::Builder out) {
  out.setHost(ToText(voter.host.Text()));
  out.setSilenceMs(voter.silence.count());
  out.setReplyAgeMs(voter.reply_age ? voter.reply_age->count() : -1);
}

control::VoterSilence Read(wire::VoterSilence::Reader in) {
  control::VoterSilence voter{
      HostName(ToString(in.getHost())), milliseconds(in.getSilenceMs()), {}};
  if (in.getReplyAgeMs() >= 0) {
    voter.reply_age = milliseconds(in.getReplyAgeMs());
  }
  return voter;
}

void Write(const config::Fault& fault, wire::SetFault::Builder out) {
  out.setCode(static_cast<std::uint8_t>(fault.code));
  out.setPath(ToText(fault.path));
  out.setLine(fault.line);
  out.setFound(ToText(fault.found));
}

config::Fault Read(wire::SetFault::Reader in, bool& valid) {
  return {ReadEnum(in.getCode(), config::FaultCode::kWrongType, valid),
          ToString(in.getPath()), in.getLine(), ToString(in.getFound())};
}

void Write(const control::TargetLoad& load, wire::TargetLoad::Builder out) {
  out.setTarget(ToText(load.target));
  out.setSlots(load.slots);
  out.setDemand(load.demand);
  out.setServers(load.servers);
  out.setUnread(load.pending_prefill);
  out.setOffered(load.offered);
  out.setMovable(load.movable);
  out.setCapacity(load.capacity);
}

std::uint32_t ClampTokens(TokenCount tokens) {
  constexpr TokenCount kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<TokenCount>(tokens, 0, kMax));
}

void Write(const policy::ServerUse& use, wire::ServerUse::Builder out) {
  out.setServer(use.server);
  out.setRunning(use.running);
  out.setPendingPrefill(ClampTokens(use.pending_prefill));
  out.setPauses(use.pauses);
  out.setPauseSumMs(ClampTokens(use.pause_sum.count()));
}

template <typename Uses>
Uses ReadUses(wire::ServerUses::Reader in) {
  Uses uses;
  uses.number = in.getNumber();
  for (const auto use : in.getUses()) {
    uses.uses.push_back({use.getServer(), use.getRunning(),
                         use.getPendingPrefill(), use.getPauses(),
                         std::chrono::milliseconds(use.getPauseSumMs())});
  }
  return uses;
}

std::vector<control::TargetLoad> ReadLoads(
    capnp::List<wire::TargetLoad>::Reader in) {
  std::vector<control::TargetLoad> loads;
  for (const auto load : in) {
    loads.push_back({ToString(load.getTarget()), load.getSlots(),
                     load.getDemand(), load.getServers(), load.getUnread(),
                     load.getOffered(), load.getMovable(), load.getCapacity()});
  }
  return loads;
}

void Write(const control::ServedTokens& served,
           wire::ServedTokens::Builder out) {
  out.setTarget(ToText(served.target));
  out.setWorkspace(ToText(served.workspace.Text()));
  out.setTokens(served.tokens);
}

void Write(const policy::ServerReport& report,
           wire::ServerReport::Builder out) {
  out.setName(ToText(report.name.Text()));
  out.setRegion(ToText(report.region.Text()));
  out.setDataCentre(ToText(report.data_centre.Text()));
  out.setAddress(ToText(report.address));
  out.setPort(report.port);
  auto targets = out.initTargets(static_cast<unsigned>(report.targets.size()));
  for (unsigned i = 0; i < report.targets.size(); ++i) {
    targets.set(i, ToText(report.targets[i]));
  }
  out.setSlots(report.slots);
  out.setRunning(report.running);
  out.setQueued(report.queued);
  out.setPrefillRate(report.prefill_rate);
  out.setDecodeRate(report.decode_rate);
  out.setAgeMs(report.age.count());
  out.setLeaving(report.leaving);
  out.setStartedMs(report.started.count());
  out.setSequence(report.sequence);
  out.setColdMs(report.cold_for.count());
  out.setSoftware(ToText(report.software));
  out.setRelayedMs(report.relayed_for.count());
}

policy::ServerReport Read(wire::ServerReport::Reader in) {
  policy::ServerReport report;
  report.name = BackendServerName(ToString(in.getName()));
  report.region = RegionName(ToString(in.getRegion()));
  report.data_centre = DataCentreName(ToString(in.getDataCentre()));
  report.address = ToString(in.getAddress());
  report.port = in.getPort();
  for (const auto target : in.getTargets()) {
    report.targets.push_back(ToString(target));
  }
  report.slots = in.getSlots();
  report.running = in.getRunning();
  report.queued = in.getQueued();
  report.prefill_rate = in.getPrefillRate();
  report.decode_rate = in.getDecodeRate();
  report.age = milliseconds(in.getAgeMs());
  report.leaving = in.getLeaving();
  report.started = milliseconds(in.getStartedMs());
  report.sequence = in.getSequence();
  report.cold_for = milliseconds(in.getColdMs());
  report.software = ToString(in.getSoftware());
  report.relayed_for = ReadSpan(in.getRelayedMs());
  return report;
}

void Write(const policy::StreamOrigin& origin,
           wire::StreamOrigin::Builder out) {
  out.setService(origin.service);
  out.setSoftware(origin.software);
  out.setRegion(ToText(origin.region.Text()));
}

policy::StreamOrigin Read(wire::StreamOrigin::Reader in) {
  return {in.getService(), in.getSoftware(),
          RegionName(ToString(in.getRegion()))};
}

void Write(const control::HeardLimit& limit, wire::HeardLimit::Builder out) {
  out.setServer(ToText(limit.server.Text()));
  out.setPerKilosecond(limit.per_kilosecond
                           ? static_cast<std::int64_t>(*limit.per_kilosecond)
                           : -1);
  out.setAgeMs(limit.age.count());
}

void Write(const control::HeardDoubt& doubt, wire::ServerDoubt::Builder out) {
  out.setServer(ToText(doubt.server.Text()));
  out.setStartedMs(doubt.started.count());
  out.setFirstAgeMs(doubt.first_age.count());
  out.setLastAgeMs(doubt.last_age.count());
  out.setIsReplaced(doubt.is_replaced);
}

control::HeardDoubt Read(wire::ServerDoubt::Reader in) {
  control::HeardDoubt doubt;
  doubt.server = BackendServerName(ToString(in.getServer()));
  doubt.started = milliseconds(in.getStartedMs());
  doubt.first_age = ReadSpan(in.getFirstAgeMs());
  doubt.last_age = ReadSpan(in.getLastAgeMs());
  doubt.is_replaced = in.getIsReplaced();
  return doubt;
}

void Write(const policy::CrashSuspect& suspect,
           wire::CrashSuspect::Builder out) {
  out.setBlock(suspect.block);
  out.setRequest(suspect.request);
}

void Write(const policy::ServerCrash& crash, wire::ServerCrash::Builder out) {
  out.setServer(ToText(crash.server.Text()));
  out.setAgeMs(crash.age.count());
  auto suspects =
      out.initSuspects(static_cast<unsigned>(crash.suspects.size()));
  for (unsigned i = 0; i < crash.suspects.size(); ++i) {
    Write(crash.suspects[i], suspects[i]);
  }
  WriteNumbers(crash.requests,
               out.initRequests(static_cast<unsigned>(crash.requests.size())));
}

void Write(const policy::BlockAnswered& answer,
           wire::BlockAnswered::Builder out) {
  out.setBlock(answer.block);
  out.setAgeMs(answer.age.count());
}

void Write(const policy::QuarantinedBlock& block,
           wire::QuarantinedBlock::Builder out) {
  out.setBlock(block.block);
  out.setNextTrialMs(block.next_trial.count());
  out.setFailedTrials(block.failed_trials);
}

std::vector<policy::QuarantinedBlock> ReadQuarantined(
    capnp::List<wire::QuarantinedBlock>::Reader in) {
  std::vector<policy::QuarantinedBlock> blocks;
  for (const auto block : in) {
    blocks.push_back({block.getBlock(), ReadSpan(block.getNextTrialMs()),
                      block.getFailedTrials()});
  }
  return blocks;
}

template <typename Item, typename Builder>
void WriteList(const std::vector<Item>& items, Builder out) {
  unsigned i = 0;
  for (const Item& item : items) {
    Write(item, out[i++]);
  }
}

template <typename Uses>
void WriteUses(const Uses& uses, wire::ServerUses::Builder out) {
  out.setNumber(uses.number);
  WriteList(uses.uses, out.initUses(static_cast<unsigned>(uses.uses.size())));
}

//! Visitor that encodes the alternative held by a PeerMessage.
void Write(const policy::QuarantineNotice& notice,
           wire::QuarantineNotice::Builder out) {
  out.setNumber(notice.number);
  out.setComplete(notice.complete);
  WriteNumbers(notice.watched,
               out.initWatched(static_cast<unsigned>(notice.watched.size())));
  WriteList(
      notice.quarantined,
      out.initQuarantined(static_cast<unsigned>(notice.quarantined.size())));
  WriteNumbers(notice.trials,
               out.initTrials(static_cast<unsigned>(notice.trials.size())));
  out.setTerm(notice.term);
}

class MessageWriter {
 public:
  explicit MessageWriter(wire::PeerMessage::Builder out) : out(out) {}

  void operator()(const state::LogMessage& message) {
    std::visit(*this, message);
  }
  void operator()(const state::LedgerMessage& message) {
    std::visit(*this, message);
  }
  void operator()(const state::VoteRequest& value) {
    auto to = this->out.initVoteRequest();
    to.setTerm(value.term);
    to.setLastIndex(value.last_index);
    to.setLastTerm(value.last_term);
    to.setIsPreVote(value.is_pre_vote);
  }
  void operator()(const state::VoteReply& value) {
    auto to = this->out.initVoteReply();
    to.setTerm(value.term);
    to.setGranted(value.granted);
    to.setIsPreVote(value.is_pre_vote);
  }
  void operator()(const state::AppendRequest& value) {
    auto to = this->out.initAppendRequest();
    to.setTerm(value.term);
    to.setPreviousIndex(value.previous_index);
    to.setPreviousTerm(value.previous_term);
    WriteList(value.entries,
              to.initEntries(static_cast<unsigned>(value.entries.size())));
    to.setCommit(value.commit);
    to.setRound(value.round);
    to.setSuccessor(value.successor.Text());
  }
  void operator()(const state::AppendReply& value) {
    auto to = this->out.initAppendReply();
    to.setTerm(value.term);
    to.setAccepted(value.accepted);
    to.setMatch(value.match);
    to.setRound(value.round);
  }
  void operator()(const state::InstallRequest& value) {
    auto to = this->out.initInstallRequest();
    to.setTerm(value.term);
    Write(value.snapshot, to.initSnapshot());
    to.setRound(value.round);
  }
  void operator()(const state::PermitRequest& value) {
    auto to = this->out.initLedgerAsk();
    Write(value.id, to.initId());
    to.setOperation(ToText(value.operation.Text()));
  }
  void operator()(const state::PermitReply& value) {
    auto to = this->out.initLedgerPermit();
    Write(value.id, to.initId());
    to.setVerdict(static_cast<std::uint8_t>(value.verdict));
    Write(value.answer, to.initAnswer());
  }
  void operator()(const state::LedgerUpdate& value) {
    auto to = this->out.initLedgerUpdate();
    Write(value.id, to.initId());
    to.setOperation(ToText(value.operation.Text()));
    to.setState(static_cast<std::uint8_t>(value.state));
    Write(value.answer, to.initAnswer());
  }
  void operator()(const state::LedgerUpdated& value) {
    Write(value.id, this->out.initLedgerUpdated());
  }
  void operator()(const state::LedgerStore& value) {
    auto to = this->out.initLedgerStore();
    to.setRegion(ToText(value.region.Text()));
    to.setEpoch(value.epoch);
    to.setSequence(value.sequence);
    Write(value.record, to.initRecord());
  }
  void operator()(const state::LedgerStored& value) {
    auto to = this->out.initLedgerStored();
    to.setRegion(ToText(value.region.Text()));
    to.setEpoch(value.epoch);
    to.setSequence(value.sequence);
  }
  void operator()(const state::LedgerCopy& value) {
    auto to = this->out.initLedgerCopy();
    to.setRegion(ToText(value.region.Text()));
    to.setEpoch(value.epoch);
    to.setPart(value.part);
    to.setParts(value.parts);
    WriteList(value.records,
              to.initRecords(static_cast<unsigned>(value.records.size())));
  }
  void operator()(const state::LedgerCopied& value) {
    auto to = this->out.initLedgerCopied();
    to.setRegion(ToText(value.region.Text()));
    to.setEpoch(value.epoch);
    to.setPart(value.part);
  }
  void operator()(const control::FeedRequest& value) {
    auto to = this->out.initFeedRequest();
    to.setNumber(value.number);
    to.setNext(value.next);
    WriteList(value.statuses,
              to.initStatuses(static_cast<unsigned>(value.statuses.size())));
  }
  void operator()(const control::FeedReply& value) {
    auto to = this->out.initFeedReply();
    to.setNumber(value.number);
    WriteList(value.entries,
              to.initEntries(static_cast<unsigned>(value.entries.size())));
    if (value.snapshot) {
      Write(*value.snapshot, to.initSnapshot());
    }
    to.setCommit(value.commit);
    to.setWordAgeMs(value.leader_contact_age ? value.leader_contact_age->count()
                                             : -1);
    to.setLeader(ToText(value.leader.Text()));
    WriteList(value.silences,
              to.initSilences(static_cast<unsigned>(value.silences.size())));
  }
  void operator()(const control::ProposeRequest& value) {
    auto to = this->out.initProposeRequest();
    to.setNumber(value.number);
    to.setPayload(ToData(value.payload));
    to.setSetNumber(value.set_number);
  }
  void operator()(const control::ProposeReply& value) {
    auto to = this->out.initProposeReply();
    to.setNumber(value.number);
    to.setKind(static_cast<std::uint8_t>(value.outcome.kind));
    to.setVersion(value.outcome.version);
    const auto& faults = value.outcome.faults;
    WriteList(faults, to.initFaults(static_cast<unsigned>(faults.size())));
  }
  void operator()(const control::WithdrawalNotice& value) {
    WriteNames(value.digests, this->out.initWithdrawalNotice(
                                  static_cast<unsigned>(value.digests.size())));
  }
  void operator()(const control::RegionStatus& value) {
    auto to = this->out.initRegionStatus();
    to.setNumber(value.number);
    to.setEcho(value.echo);
    to.setEpoch(value.epoch);
    to.setDraining(value.draining);
    to.setLinksDown(value.links_down);
    WriteList(value.loads,
              to.initLoads(static_cast<unsigned>(value.loads.size())));
    WriteList(value.served,
              to.initServed(static_cast<unsigned>(value.served.size())));
    WriteList(value.servers,
              to.initServers(static_cast<unsigned>(value.servers.size())));
    WriteList(value.limits,
              to.initLimits(static_cast<unsigned>(value.limits.size())));
    WriteList(value.doubts,
              to.initDoubts(static_cast<unsigned>(value.doubts.size())));
  }
  void operator()(const policy::LoadReport& value) {
    WriteUses(value, this->out.initLoadReport());
  }
  void operator()(const policy::LoadSummary& value) {
    auto to = this->out.initLoadSummary();
    WriteUses(value, to);
    to.setHosts(value.hosts);
  }
  void operator()(const control::ServerDoubts& value) {
    WriteList(value.doubts, this->out.initServerDoubts(
                                static_cast<unsigned>(value.doubts.size())));
  }
  void operator()(const control::ProbeRequest& value) {
    this->out.setProbeRequest(value.number);
  }
  void operator()(const control::ProbeReply& value) {
    auto to = this->out.initProbeReply();
    to.setNumber(value.number);
    to.setLinksDown(value.links_down);
    to.setRegion(ToText(value.region.Text()));
    WriteList(value.loads,
              to.initLoads(static_cast<unsigned>(value.loads.size())));
  }
  void operator()(const policy::ChunkRequest& value) {
    auto to = this->out.initChunkRequest();
    to.setChunk(value.chunk);
    to.setWorkspace(ToText(value.workspace.Text()));
    to.setTokens(value.needed);
    to.setWanted(value.wanted);
  }
  void operator()(const policy::ChunkGrant& value) {
    auto to = this->out.initChunkGrant();
    to.setChunk(value.chunk);
    to.setWorkspace(ToText(value.workspace.Text()));
    to.setTokens(value.tokens);
    to.setRetryAfterMs(value.retry_after.count());
  }
  void operator()(const policy::ChunkSettled& value) {
    auto to = this->out.initChunkSettled();
    to.setChunk(value.chunk);
    to.setWorkspace(ToText(value.workspace.Text()));
    to.setTokens(value.unused);
  }
  void operator()(const control::StatusRequest& value) {
    this->out.setStatusRequest(value.number);
  }
  void operator()(const control::StatusReply& value) {
    auto to = this->out.initStatusReply();
    to.setNumber(value.number);
    to.setLeader(ToText(value.leader.Text()));
    to.setVersion(value.version);
    WriteNames(value.voters,
               to.initVoters(static_cast<unsigned>(value.voters.size())));
    auto hosts = to.initHosts(static_cast<unsigned>(value.hosts.size()));
    for (unsigned i = 0; i < value.hosts.size(); ++i) {
      hosts[i].setHost(ToText(value.hosts[i].host.Text()));
      hosts[i].setVersion(value.hosts[i].version);
      hosts[i].setIsLive(value.hosts[i].is_live);
    }
    if (value.voter_health) {
      const control::VoterHealth& from = *value.voter_health;
      auto health = to.initVoterHealth();
      WriteList(from.lost,
                health.initLost(static_cast<unsigned>(from.lost.size())));
      health.setJoining(ToText(from.joining.Text()));
      health.setLossesLeft(from.losses_left);
    }
  }
  void operator()(const policy::RateReport& value) {
    auto to = this->out.initRateReport();
    to.setNumber(value.number);
    to.setHolds(value.holds);
    auto demands = to.initDemands(static_cast<unsigned>(value.demands.size()));
    for (unsigned i = 0; i < value.demands.size(); ++i) {
      demands[i].setWorkspace(ToText(value.demands[i].workspace.Text()));
      demands[i].setDemand(value.demands[i].demand);
      demands[i].setHeld(value.demands[i].held);
    }
  }
  void operator()(const policy::RateGrant& value) {
    auto to = this->out.initRateGrant();
    to.setNumber(value.number);
    auto shares = to.initShares(static_cast<unsigned>(value.shares.size()));
    for (unsigned i = 0; i < value.shares.size(); ++i) {
      shares[i].setWorkspace(ToText(value.shares[i].workspace.Text()));
      shares[i].setShare(value.shares[i].share);
    }
  }
  void operator()(const policy::TokenRequest& value) {
    auto to = this->out.initTokenRequest();
    to.setNumber(value.number);
    to.setWorkspace(ToText(value.workspace.Text()));
    to.setTokens(value.tokens);
    to.setIsCounted(value.is_counted);
  }
  void operator()(const policy::TokenReply& value) {
    auto to = this->out.initTokenReply();
    to.setNumber(value.number);
    to.setGranted(value.granted);
    to.setRetryAfterMs(value.retry_after.count());
    to.setRate(value.rate);
  }
  void operator()(const policy::TokenReturn& value) {
    auto to = this->out.initTokenReturn();
    to.setWorkspace(ToText(value.workspace.Text()));
    to.setTokens(value.tokens);
  }
  void operator()(const policy::CrashReport& value) {
    auto to = this->out.initCrashReport();
    to.setNumber(value.number);
    WriteList(value.crashes,
              to.initCrashes(static_cast<unsigned>(value.crashes.size())));
    WriteList(value.answered,
              to.initAnswered(static_cast<unsigned>(value.answered.size())));
    WriteNumbers(value.refused,
                 to.initRefused(static_cast<unsigned>(value.refused.size())));
    WriteList(value.held,
              to.initHeld(static_cast<unsigned>(value.held.size())));
  }
  void operator()(const policy::QuarantineNotice& value) {
    Write(value, this->out.initQuarantineNotice());
  }
  void operator()(const control::RelayedNotice& value) {
    auto to = this->out.initRelayedNotice();
    Write(value.notice, to.initNotice());
    WriteNames(
        value.recipients,
        to.initRecipients(static_cast<unsigned>(value.recipients.size())));
  }
  void operator()(const policy::StreamBegun& value) {
    auto to = this->out.initStreamBegun();
    to.setStream(value.stream);
    Write(value.origin, to.initOrigin());
  }
  void operator()(const policy::StreamQuestion& value) {
    auto to = this->out.initStreamQuestion();
    to.setNumber(value.number);
    to.setStream(value.stream);
  }
  void operator()(const policy::StreamAnswer& value) {
    auto to = this->out.initStreamAnswer();
    to.setNumber(value.number);
    if (value.origin) {
      Write(*value.origin, to.initOrigin());
    }
  }
  void operator()(const control::ServerReports& value) {
    WriteList(value.reports, this->out.initServerNews(
                                 static_cast<unsigned>(value.reports.size())));
  }
  void operator()(const control::RosterRequest& value) {
    auto to = this->out.initRosterRequest();
    to.setNumber(value.number);
    to.setRegion(ToText(value.region.Text()));
    to.setEpoch(value.known.epoch);
    to.setVersion(value.known.version);
  }
  void operator()(const control::RosterReply& value) {
    auto to = this->out.initRosterReply();
    to.setNumber(value.number);
    to.setEpoch(value.reached.epoch);
    to.setVersion(value.reached.version);
    to.setSince(value.since);
    const auto entries = static_cast<unsigned>(value.entries.size());
    auto ids = to.initIds(entries);
    auto reports = to.initEntries(entries);
    for (unsigned i = 0; i < entries; ++i) {
      ids.set(i, value.entries[i].id);
      Write(value.entries[i].report, reports[i]);
    }
    const auto renewals = static_cast<unsigned>(value.renewals.size());
    auto renewed = to.initRenewedIds(renewals);
    auto ages = to.initRenewedMs(renewals);
    for (unsigned i = 0; i < renewals; ++i) {
      renewed.set(i, value.renewals[i].id);
      ages.set(i, static_cast<std::uint32_t>(value.renewals[i].age.count()));
    }
  }

 private:
  wire::PeerMessage::Builder out;
};

state::LedgerCopy ReadLedgerCopy(wire::LedgerCopy::Reader in, bool& valid) {
  state::LedgerCopy copy;
  copy.region = RegionName(ToString(in.getRegion()));
  copy.epoch = in.getEpoch();
  copy.part = in.getPart();
  copy.parts = in.getParts();
  for (const auto record : in.getRecords()) {
    copy.records.push_back(Read(record, valid));
  }
  return copy;
}

control::FeedReply ReadFeedReply(wire::FeedReply::Reader in, bool& valid) {
  control::FeedReply reply;
  reply.number = in.getNumber();
  reply.entries = ReadEntries(in.getEntries(), valid);
  if (in.hasSnapshot()) {
    reply.snapshot = Read(in.getSnapshot());
  }
  reply.commit = in.getCommit();
  if (in.getWordAgeMs() >= 0) {
    reply.leader_contact_age = milliseconds(in.getWordAgeMs());
  }
  reply.leader = HostName(ToString(in.getLeader()));
  for (const auto voter : in.getSilences()) {
    reply.silences.push_back(Read(voter));
  }
  return reply;
}

control::ProposeReply ReadProposeReply(wire::ProposeReply::Reader in,
                                       bool& valid) {
  control::ProposeReply reply;
  reply.number = in.getNumber();
  reply.outcome.kind =
      ReadEnum(in.getKind(), state::ApplyKind::kOvertaken, valid);
  reply.outcome.version = in.getVersion();
  for (const auto fault : in.getFaults()) {
    reply.outcome.faults.push_back(Read(fault, valid));
  }
  return reply;
}

std::vector<control::HeardDoubt> ReadDoubts(
    capnp::List<wire::ServerDoubt>::Reader in) {
  std::vector<control::HeardDoubt> doubts;
  for (const auto doubt : in) {
    doubts.push_back(Read(doubt));
  }
  return doubts;
}

control::RegionStatus ReadRegionStatus(wire::RegionStatus::Reader in) {
  control::RegionStatus status;
  status.number = in.getNumber();
  status.echo = in.getEcho();
  status.epoch = in.getEpoch();
  status.draining = in.getDraining();
  status.links_down = in.getLinksDown();
  status.loads = ReadLoads(in.getLoads());
  for (const auto served : in.getServed()) {
    status.served.push_back({ToString(served.getTarget()),
                             WorkspaceName(ToString(served.getWorkspace())),
                             served.getTokens()});
  }
  for (const auto server : in.getServers()) {
    status.servers.push_back(Read(server));
  }
  for (const auto limit : in.getLimits()) {
    const std::int64_t rate = limit.getPerKilosecond();
    status.limits.push_back(
        {BackendServerName(ToString(limit.getServer())),
         rate < 0 ? std::nullopt
                  : std::optional(static_cast<std::uint64_t>(rate)),
         ReadSpan(limit.getAgeMs())});
  }
  status.doubts = ReadDoubts(in.getDoubts());
  return status;
}

control::StatusReply ReadStatusReply(wire::StatusReply::Reader in) {
  control::StatusReply reply;
  reply.number = in.getNumber();
  reply.leader = HostName(ToString(in.getLeader()));
  reply.version = in.getVersion();
  reply.voters = ReadNames<HostName>(in.getVoters());
  for (const auto host : in.getHosts()) {
    reply.hosts.push_back({HostName(ToString(host.getHost())),
                           host.getVersion(), host.getIsLive()});
  }
  if (in.hasVoterHealth()) {
    const auto from = in.getVoterHealth();
    control::VoterHealth& health = reply.voter_health.emplace();
    for (const auto voter : from.getLost()) {
      health.lost.push_back(Read(voter));
    }
    health.joining = HostName(ToString(from.getJoining()));
    health.losses_left = from.getLossesLeft();
  }
  return reply;
}

PeerMessage ReadLogMessage(wire::PeerMessage::Reader in, bool& valid) {
  using Wire = wire::PeerMessage;
  if (in.which() == Wire::VOTE_REQUEST) {
    const auto from = in.getVoteRequest();
    return state::LogMessage(
        state::VoteRequest{from.getTerm(), from.getLastIndex(),
                           from.getLastTerm(), from.getIsPreVote()});
  }
  if (in.which() == Wire::VOTE_REPLY) {
    const auto from = in.getVoteReply();
    return state::LogMessage(state::VoteReply{from.getTerm(), from.getGranted(),
                                              from.getIsPreVote()});
  }
  if (in.which() == Wire::APPEND_REQUEST) {
    const auto from = in.getAppendRequest();
    return state::LogMessage(state::AppendRequest{
        from.getTerm(), from.getPreviousIndex(), from.getPreviousTerm(),
        ReadEntries(from.getEntries(), valid), from.getCommit(),
        from.getRound(), HostName(ToString(from.getSuccessor()))});
  }
  if (in.which() == Wire::APPEND_REPLY) {
    const auto from = in.getAppendReply();
    return state::LogMessage(state::AppendReply{
        from.getTerm(), from.getAccepted(), from.getMatch(), from.getRound()});
  }
  const auto from = in.getInstallRequest();
  return state::LogMessage(state::InstallRequest{
      from.getTerm(), Read(from.getSnapshot()), from.getRound()});
}

PeerMessage ReadLedgerMessage(wire::PeerMessage::Reader in, bool& valid) {
  using Wire = wire::PeerMessage;
  if (in.which() == Wire::LEDGER_ASK) {
    const auto from = in.getLedgerAsk();
    return state::LedgerMessage(state::PermitRequest{
        Read(from.getId()), OperationId(ToString(from.getOperation()))});
  }
  if (in.which() == Wire::LEDGER_PERMIT) {
    const auto from = in.getLedgerPermit();
    return state::LedgerMessage(state::PermitReply{
        Read(from.getId()),
        ReadEnum(from.getVerdict(), state::PermitVerdict::kFull, valid),
        Read(from.getAnswer())});
  }
  if (in.which() == Wire::LEDGER_UPDATE) {
    const auto from = in.getLedgerUpdate();
    return state::LedgerMessage(state::LedgerUpdate{
        Read(from.getId()), OperationId(ToString(from.getOperation())),
        ReadEnum(from.getState(), state::OperationState::kReleased, valid),
        Read(from.getAnswer())});
  }
  if (in.which() == Wire::LEDGER_UPDATED) {
    return state::LedgerMessage(
        state::LedgerUpdated{Read(in.getLedgerUpdated())});
  }
  if (in.which() == Wire::LEDGER_STORE) {
    const auto from = in.getLedgerStore();
    return state::LedgerMessage(state::LedgerStore{
        RegionName(ToString(from.getRegion())), from.getEpoch(),
        from.getSequence(), Read(from.getRecord(), valid)});
  }
  if (in.which() == Wire::LEDGER_STORED) {
    const auto from = in.getLedgerStored();
    return state::LedgerMessage(
        state::LedgerStored{RegionName(ToString(from.getRegion())),
                            from.getEpoch(), from.getSequence()});
  }
  if (in.which() == Wire::LEDGER_COPY) {
    return state::LedgerMessage(ReadLedgerCopy(in.getLedgerCopy(), valid));
  }
  const auto from = in.getLedgerCopied();
  return state::LedgerMessage(state::LedgerCopied{
      RegionName(ToString(from.getRegion())), from.getEpoch(), from.getPart()});
}

PeerMessage ReadChunkMessage(wire::PeerMessage::Reader in) {
  using Wire = wire::PeerMessage;
  if (in.which() == Wire::CHUNK_REQUEST) {
    const auto from = in.getChunkRequest();
    return policy::ChunkRequest{from.getChunk(),
                                WorkspaceName(ToString(from.getWorkspace())),
                                from.getTokens(), from.getWanted()};
  }
  if (in.which() == Wire::CHUNK_GRANT) {
    const auto from = in.getChunkGrant();
    return policy::ChunkGrant{
        from.getChunk(), WorkspaceName(ToString(from.getWorkspace())),
        from.getTokens(), milliseconds(from.getRetryAfterMs())};
  }
  const auto from = in.getChunkSettled();
  return policy::ChunkSettled{from.getChunk(),
                              WorkspaceName(ToString(from.getWorkspace())),
                              from.getTokens()};
}

PeerMessage ReadRateMessage(wire::PeerMessage::Reader in) {
  if (in.which() == wire::PeerMessage::RATE_REPORT) {
    const auto from = in.getRateReport();
    policy::RateReport report{from.getNumber(), from.getHolds(), {}};
    for (const auto demand : from.getDemands()) {
      report.demands.push_back({WorkspaceName(ToString(demand.getWorkspace())),
                                demand.getDemand(), demand.getHeld()});
    }
    return report;
  }
  const auto from = in.getRateGrant();
  policy::RateGrant grant{from.getNumber(), {}};
  for (const auto share : from.getShares()) {
    grant.shares.push_back(
        {WorkspaceName(ToString(share.getWorkspace())), share.getShare()});
  }
  return grant;
}

PeerMessage ReadTokenMessage(wire::PeerMessage::Reader in) {
  // More than any request has, and few enough for sums not to overflow.
  static constexpr std::int64_t kMaxTokens = 1'000'000'000;
  const auto read_tokens = [](std::int64_t tokens) {
    return std::clamp<std::int64_t>(tokens, 0, kMaxTokens);
  };
  using Wire = wire::PeerMessage;
  if (in.which() == Wire::TOKEN_REQUEST) {
    const auto from = in.getTokenRequest();
    return policy::TokenRequest{
        from.getNumber(), WorkspaceName(ToString(from.getWorkspace())),
        read_tokens(from.getTokens()), from.getIsCounted()};
  }
  if (in.which() == Wire::TOKEN_REPLY) {
    const auto from = in.getTokenReply();
    return policy::TokenReply{from.getNumber(), from.getGranted(),
                              ReadSpan(from.getRetryAfterMs()), from.getRate()};
  }
  const auto from = in.getTokenReturn();
  return policy::TokenReturn{WorkspaceName(ToString(from.getWorkspace())),
                             read_tokens(from.getTokens())};
}

policy::CrashReport ReadCrashReport(wire::CrashReport::Reader in) {
  policy::CrashReport report;
  report.number = in.getNumber();
  for (const auto crash : in.getCrashes()) {
    policy::ServerCrash read{BackendServerName(ToString(crash.getServer())),
                             ReadSpan(crash.getAgeMs()),
                             {},
                             ReadNumbers(crash.getRequests())};
    for (const auto suspect : crash.getSuspects()) {
      read.suspects.push_back({suspect.getBlock(), suspect.getRequest()});
    }
    report.crashes.push_back(std::move(read));
  }
  for (const auto answer : in.getAnswered()) {
    report.answered.push_back({answer.getBlock(), ReadSpan(answer.getAgeMs())});
  }
  report.refused = ReadNumbers(in.getRefused());
  report.held = ReadQuarantined(in.getHeld());
  return report;
}

policy::QuarantineNotice ReadQuarantineNotice(
    wire::QuarantineNotice::Reader in) {
  policy::QuarantineNotice notice;
  notice.number = in.getNumber();
  notice.complete = in.getComplete();
  notice.watched = ReadNumbers(in.getWatched());
  notice.quarantined = ReadQuarantined(in.getQuarantined());
  notice.trials = ReadNumbers(in.getTrials());
  notice.term = in.getTerm();
  return notice;
}

control::RosterReply ReadRosterReply(wire::RosterReply::Reader in,
                                     bool& valid) {
  control::RosterReply reply;
  const bool is_paired = in.getIds().size() == in.getEntries().size() &&
                         in.getRenewedIds().size() == in.getRenewedMs().size();
  if (!is_paired) {
    valid = false;
    return reply;
  }
  reply.number = in.getNumber();
  reply.reached = {in.getEpoch(), in.getVersion()};
  reply.since = in.getSince();
  for (unsigned i = 0; i < in.getIds().size(); ++i) {
    reply.entries.push_back({in.getIds()[i], Read(in.getEntries()[i])});
  }
  for (unsigned i = 0; i < in.getRenewedIds().size(); ++i) {
    reply.renewals.push_back(
        {in.getRenewedIds()[i], milliseconds(in.getRenewedMs()[i])});
  }
  return reply;
}

PeerMessage ReadAny(wire::PeerMessage::Reader in, bool& valid) {
  using Wire = wire::PeerMessage;
  switch (in.which()) {
    case Wire::VOTE_REQUEST:
    case Wire::VOTE_REPLY:
    case Wire::APPEND_REQUEST:
    case Wire::APPEND_REPLY:
    case Wire::INSTALL_REQUEST:
      return ReadLogMessage(in, valid);
    case Wire::LEDGER_ASK:
    case Wire::LEDGER_PERMIT:
    case Wire::LEDGER_UPDATE:
    case Wire::LEDGER_UPDATED:
    case Wire::LEDGER_STORE:
    case Wire::LEDGER_STORED:
    case Wire::LEDGER_COPY:
    case Wire::LEDGER_COPIED:
      return ReadLedgerMessage(in, valid);
    case Wire::FEED_REQUEST: {
      const auto from = in.getFeedRequest();
      control::FeedRequest request{from.getNumber(), from.getNext(), {}};
      for (const auto status : from.getStatuses()) {
        request.statuses.push_back(Read(status));
      }
      return request;
    }
    case Wire::FEED_REPLY:
      return ReadFeedReply(in.getFeedReply(), valid);
    case Wire::PROPOSE_REQUEST: {
      const auto from = in.getProposeRequest();
      return control::ProposeRequest{
          from.getNumber(), ToString(from.getPayload()), from.getSetNumber()};
    }
    case Wire::PROPOSE_REPLY:
      return ReadProposeReply(in.getProposeReply(), valid);
    case Wire::WITHDRAWAL_NOTICE:
      return control::WithdrawalNotice{
          ReadNames<KeyDigest>(in.getWithdrawalNotice())};
    case Wire::REGION_STATUS:
      return ReadRegionStatus(in.getRegionStatus());
    case Wire::PROBE_REQUEST:
      return control::ProbeRequest{in.getProbeRequest()};
    case Wire::PROBE_REPLY: {
      const auto from = in.getProbeReply();
      return control::ProbeReply{
          from.getNumber(), RegionName(ToString(from.getRegion())),
          ReadLoads(from.getLoads()), from.getLinksDown()};
    }
    case Wire::CHUNK_REQUEST:
    case Wire::CHUNK_GRANT:
    case Wire::CHUNK_SETTLED:
      return ReadChunkMessage(in);
    case Wire::STATUS_REQUEST:
      return control::StatusRequest{in.getStatusRequest()};
    case Wire::STATUS_REPLY:
      return ReadStatusReply(in.getStatusReply());
    case Wire::RATE_REPORT:
    case Wire::RATE_GRANT:
      return ReadRateMessage(in);
    case Wire::TOKEN_REQUEST:
    case Wire::TOKEN_REPLY:
    case Wire::TOKEN_RETURN:
      return ReadTokenMessage(in);
    case Wire::CRASH_REPORT:
      return ReadCrashReport(in.getCrashReport());
    case Wire::STREAM_BEGUN:
      return policy::StreamBegun{in.getStreamBegun().getStream(),
                                 Read(in.getStreamBegun().getOrigin())};
    case Wire::STREAM_QUESTION:
      return policy::StreamQuestion{in.getStreamQuestion().getNumber(),
                                    in.getStreamQuestion().getStream()};
    case Wire::STREAM_ANSWER: {
      const auto from = in.getStreamAnswer();
      policy::StreamAnswer answer{from.getNumber(), std::nullopt};
      if (from.hasOrigin()) {
        answer.origin = Read(from.getOrigin());
      }
      return answer;
    }
    case Wire::QUARANTINE_NOTICE:
      return ReadQuarantineNotice(in.getQuarantineNotice());
    case Wire::RELAYED_NOTICE: {
      const auto from = in.getRelayedNotice();
      return control::RelayedNotice{ReadQuarantineNotice(from.getNotice()),
                                    ReadNames<HostName>(from.getRecipients())};
    }
    case Wire::SERVER_NEWS: {
      control::ServerReports server_reports;
      for (const auto report : in.getServerNews()) {
        server_reports.reports.push_back(Read(report));
      }
      return server_reports;
    }
    case Wire::ROSTER_REQUEST: {
      const auto from = in.getRosterRequest();
      return control::RosterRequest{from.getNumber(),
                                    RegionName(ToString(from.getRegion())),
                                    {from.getEpoch(), from.getVersion()}};
    }
    case Wire::ROSTER_REPLY:
      return ReadRosterReply(in.getRosterReply(), valid);
    case Wire::LOAD_REPORT:
      return ReadUses<policy::LoadReport>(in.getLoadReport());
    case Wire::LOAD_SUMMARY: {
      auto summary = ReadUses<policy::LoadSummary>(in.getLoadSummary());
      summary.hosts = in.getLoadSummary().getHosts();
      return summary;
    }
    case Wire::SERVER_DOUBTS:
      return control::ServerDoubts{ReadDoubts(in.getServerDoubts())};
  }
  valid = false;
  return control::ProbeRequest();
}

}  // namespace

void WriteMessage(const PeerMessage& message, wire::PeerMessage::Builder out) {
  MessageWriter writer(out);
  std::visit(writer, message);
}

Expected<PeerMessage, WireError> ReadMessage(wire::PeerMessage::Reader in) {
  bool valid = true;
  PeerMessage message = ReadAny(in, valid);
  if (!valid) {
    return unexpected(WireError::kOutOfRange);
  }
  return message;
}

}  // namespace tamarackwing::hosts
