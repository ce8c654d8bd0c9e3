@0xb4f3c6a27d1e9058;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("tamarackwing::hosts::wire");

# The messages between hosts of tamarackwing.

interface Entry {
  # The bootstrap capability of a connection: opens a session for a host that
  # presents the cluster's secret.
  # `address` and `port` are where that host accepts connections itself.
  hello @0 (host :Text, secret :Text, address :Text, port :UInt16,
            channel :UInt8)
      -> (session :Session);
}

interface Session {
  deliver @0 (message :PeerMessage);
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  payload @3 :Data;
  voters @4 :List(Text);
}

struct LogSnapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  voters @2 :List(Text);
  state @3 :Data;
}

struct VoteRequest {
  term @0 :UInt64;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
  isPreVote @3 :Bool;
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
  isPreVote @2 :Bool;
}

struct AppendRequest {
  term @0 :UInt64;
  previousIndex @1 :UInt64;
  previousTerm @2 :UInt64;
  entries @3 :List(LogEntry);
  commit @4 :UInt64;
  round @5 :UInt64;
  successor @6 :Text;
}

struct AppendReply {
  term @0 :UInt64;
  accepted @1 :Bool;
  match @2 :UInt64;
  round @3 :UInt64;
}

struct InstallRequest {
  term @0 :UInt64;
  snapshot @1 :LogSnapshot;
  round @2 :UInt64;
}

struct AskId {
  host @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt64;
}

struct StoredAnswer {
  status @0 :UInt32;
  contentType @1 :Text;
  body @2 :Data;
}

struct OperationRecord {
  operation @0 :Text;
  state @1 :UInt8;
  holder @2 :AskId;
  answer @3 :StoredAnswer;
}

struct LedgerAsk {
  id @0 :AskId;
  operation @1 :Text;
}

struct LedgerPermit {
  id @0 :AskId;
  verdict @1 :UInt8;
  answer @2 :StoredAnswer;
}

struct LedgerUpdate {
  id @0 :AskId;
  operation @1 :Text;
  state @2 :UInt8;
  answer @3 :StoredAnswer;
}

struct LedgerStore {
  region @0 :Text;
  epoch @1 :UInt64;
  sequence @2 :UInt64;
  record @3 :OperationRecord;
}

struct LedgerStored {
  region @0 :Text;
  epoch @1 :UInt64;
  sequence @2 :UInt64;
}

struct LedgerCopy {
  region @0 :Text;
  epoch @1 :UInt64;
  part @2 :UInt32;
  parts @3 :UInt32;
  records @4 :List(OperationRecord);
}

struct LedgerCopied {
  region @0 :Text;
  epoch @1 :UInt64;
  part @2 :UInt32;
}

struct HostRecord {
  name @0 :Text;
  region @1 :Text;
  dataCentre @2 :Text;
  callerAddress @3 :Text;
  callerPort @4 :UInt16;
  peerAddress @5 :Text;
  peerPort @6 :UInt16;
  forwardPort @7 :UInt16;
  hasDisk @8 :Bool;
  incarnation @9 :UInt64;
  draining @10 :Bool;
  readsFormat @11 :UInt32;
}

struct HostStatus {
  record @0 :HostRecord;
  applied @1 :UInt64;
  version @2 :UInt64;
  syncedEpoch @3 :UInt64;
  ageMs @4 :Int64;
}

struct FeedRequest {
  number @0 :UInt64;
  next @1 :UInt64;
  statuses @2 :List(HostStatus);
}

struct FeedReply {
  number @0 :UInt64;
  entries @1 :List(LogEntry);
  snapshot @2 :LogSnapshot;
  commit @3 :UInt64;
  # Milliseconds since the source last heard from a leader; negative if it never
  # has.
  wordAgeMs @4 :Int64 = -1;
  leader @5 :Text;
  silences @6 :List(VoterSilence);
}

struct VoterSilence {
  host @0 :Text;
  silenceMs @1 :Int64;
  # Negative if there was no reply.
  replyAgeMs @2 :Int64 = -1;
}

struct ProposeRequest {
  number @0 :UInt64;
  payload @1 :Data;
  setNumber @2 :UInt64;
}

struct SetFault {
  code @0 :UInt8;
  path @1 :Text;
  line @2 :UInt32;
  found @3 :Text;
}

struct ProposeReply {
  number @0 :UInt64;
  kind @1 :UInt8;
  version @2 :UInt64;
  faults @3 :List(SetFault);
}

struct TargetLoad {
  target @0 :Text;
  slots @1 :UInt32;
  demand @2 :UInt32;
  servers @3 :UInt32;
  unread @4 :Int64;
  offered @5 :UInt32;
  movable @6 :UInt32;
  capacity @7 :UInt32;
}

struct ServerUse {
  server @0 :UInt32;
  running @1 :UInt32;
  pendingPrefill @2 :UInt32;
  pauses @3 :UInt32;
  pauseSumMs @4 :UInt32;
}

struct ServerUses {
  number @0 :UInt64;
  uses @1 :List(ServerUse);
  # In a summary, how many hosts it includes.
  hosts @2 :UInt32;
}

struct ServedTokens {
  target @0 :Text;
  workspace @1 :Text;
  tokens @2 :Int64;
}

struct ServerReport {
  name @0 :Text;
  region @1 :Text;
  dataCentre @2 :Text;
  address @3 :Text;
  port @4 :UInt16;
  targets @5 :List(Text);
  slots @6 :UInt32;
  running @7 :UInt32;
  queued @8 :UInt32;
  prefillRate @9 :Float64;
  decodeRate @10 :Float64;
  ageMs @11 :Int64;
  leaving @12 :Bool;
  startedMs @13 :Int64;
  sequence @14 :UInt64;
  coldMs @15 :Int64;
  software @16 :Text;
  relayedMs @17 :Int64;
}

struct RosterRequest {
  number @0 :UInt64;
  region @1 :Text;
  epoch @2 :UInt64;
  version @3 :UInt64;
}

struct RosterReply {
  number @0 :UInt64;
  epoch @1 :UInt64;
  version @2 :UInt64;
  since @3 :UInt64;
  # The server with id ids[i] has sent entries[i].
  ids @4 :List(UInt32);
  entries @5 :List(ServerReport);
  # The server with id renewedIds[i] has sent its last report again, renewedMs[i]
  # milliseconds ago.
  renewedIds @6 :List(UInt32);
  renewedMs @7 :List(UInt32);
}

struct HeardLimit {
  server @0 :Text;
  # Requests per 1000 seconds; negative if the server names no limit.
  perKilosecond @1 :Int64;
  ageMs @2 :Int64;
}

struct ServerDoubt {
  server @0 :Text;
  startedMs @1 :Int64;
  firstAgeMs @2 :Int64;
  lastAgeMs @3 :Int64;
  isReplaced @4 :Bool;
}

struct RegionStatus {
  number @0 :UInt64;
  echo @1 :UInt64;
  epoch @2 :UInt64;
  draining @3 :Bool;
  loads @4 :List(TargetLoad);
  served @5 :List(ServedTokens);
  servers @6 :List(ServerReport);
  limits @7 :List(HeardLimit);
  linksDown @8 :Bool;
  doubts @9 :List(ServerDoubt);
}

struct ProbeReply {
  number @0 :UInt64;
  region @1 :Text;
  loads @2 :List(TargetLoad);
  linksDown @3 :Bool;
}

struct Chunk {
  chunk @0 :UInt64;
  workspace @1 :Text;
  # The tokens needed by a chunkRequest, granted by a chunkGrant, or left unused
  # as reported by a chunkSettled.
  tokens @2 :Int64;
  wanted @3 :Int64;
  retryAfterMs @4 :Int64;
}

struct HostProgress {
  host @0 :Text;
  version @1 :UInt64;
  isLive @2 :Bool;
}

struct StatusReply {
  number @0 :UInt64;
  leader @1 :Text;
  version @2 :UInt64;
  voters @3 :List(Text);
  hosts @4 :List(HostProgress);
  # Absent if the leader does not know, or is of a build that does not tell.
  voterHealth @5 :VoterHealth;
}

struct VoterHealth {
  lost @0 :List(VoterSilence);
  joining @1 :Text;
  lossesLeft @2 :UInt32;
}

struct RateDemand {
  workspace @0 :Text;
  demand @1 :Int64;
  held @2 :Int64;
}

struct RateReport {
  number @0 :UInt64;
  holds @1 :UInt64;
  demands @2 :List(RateDemand);
}

struct RateShare {
  workspace @0 :Text;
  share @1 :Int64;
}

struct RateGrant {
  number @0 :UInt64;
  shares @1 :List(RateShare);
}

struct TokenRequest {
  number @0 :UInt64;
  workspace @1 :Text;
  tokens @2 :Int64;
  isCounted @3 :Bool;
}

struct TokenReply {
  number @0 :UInt64;
  granted @1 :Bool;
  retryAfterMs @2 :Int64;
  rate @3 :Int64;
}

struct TokenReturn {
  workspace @0 :Text;
  tokens @1 :Int64;
}

struct CrashSuspect {
  block @0 :UInt64;
  request @1 :UInt64;
}

struct ServerCrash {
  server @0 :Text;
  ageMs @1 :Int64;
  suspects @2 :List(CrashSuspect);
  requests @3 :List(UInt64);
}

struct BlockAnswered {
  block @0 :UInt64;
  ageMs @1 :Int64;
}

struct QuarantinedBlock {
  block @0 :UInt64;
  nextTrialMs @1 :Int64;
  failedTrials @2 :UInt32;
}

struct CrashReport {
  number @0 :UInt64;
  crashes @1 :List(ServerCrash);
  answered @2 :List(BlockAnswered);
  refused @3 :List(UInt64);
  held @4 :List(QuarantinedBlock);
}

struct QuarantineNotice {
  number @0 :UInt64;
  complete @1 :Bool;
  watched @2 :List(UInt64);
  quarantined @3 :List(QuarantinedBlock);
  trials @4 :List(UInt64);
  term @5 :UInt64;
}

struct RelayedNotice {
  notice @0 :QuarantineNotice;
  recipients @1 :List(Text);
}

struct StreamOrigin {
  service @0 :UInt64;
  software @1 :UInt64;
  region @2 :Text;
}

struct StreamBegun {
  stream @0 :UInt64;
  origin @1 :StreamOrigin;
}

struct StreamQuestion {
  number @0 :UInt64;
  stream @1 :UInt64;
}

struct StreamAnswer {
  number @0 :UInt64;
  # Null if the sender does not know the stream.
  origin @1 :StreamOrigin;
}

struct PeerMessage {
  union {
    voteRequest @0 :VoteRequest;
    voteReply @1 :VoteReply;
    appendRequest @2 :AppendRequest;
    appendReply @3 :AppendReply;
    installRequest @4 :InstallRequest;
    ledgerAsk @5 :LedgerAsk;
    ledgerPermit @6 :LedgerPermit;
    ledgerUpdate @7 :LedgerUpdate;
    ledgerUpdated @8 :AskId;
    ledgerStore @9 :LedgerStore;
    ledgerStored @10 :LedgerStored;
    ledgerCopy @11 :LedgerCopy;
    ledgerCopied @12 :LedgerCopied;
    feedRequest @13 :FeedRequest;
    feedReply @14 :FeedReply;
    proposeRequest @15 :ProposeRequest;
    proposeReply @16 :ProposeReply;
    withdrawalNotice @17 :List(Text);
    regionStatus @18 :RegionStatus;
    probeRequest @19 :UInt64;
    probeReply @20 :ProbeReply;
    chunkRequest @21 :Chunk;
    chunkGrant @22 :Chunk;
    chunkSettled @23 :Chunk;
    statusRequest @24 :UInt64;
    statusReply @25 :StatusReply;
    serverNews @26 :List(ServerReport);
    rateReport @27 :RateReport;
    rateGrant @28 :RateGrant;
    crashReport @29 :CrashReport;
    quarantineNotice @30 :QuarantineNotice;
    streamBegun @31 :StreamBegun;
    streamQuestion @32 :StreamQuestion;
    streamAnswer @33 :StreamAnswer;
    rosterRequest @34 :RosterRequest;
    rosterReply @35 :RosterReply;
    tokenRequest @36 :TokenRequest;
    tokenReply @37 :TokenReply;
    tokenReturn @38 :TokenReturn;
    relayedNotice @39 :RelayedNotice;
    loadReport @40 :ServerUses;
    loadSummary @41 :ServerUses;
    serverDoubts @42 :List(ServerDoubt);
  }
}
