#include "tamarackwing/state/agreed_log.h"

#include <algorithm>
#include <utility>

#include "tamarackwing/base/random_source.h"

namespace tamarackwing::state {
namespace {

//! Number of heartbeat rounds whose send times are kept for late replies.
constexpr std::size_t kMaxRounds = 256;

}  // namespace

AgreedLog::AgreedLog(HostName self,
                     LogOptions options,
                     const std::set<HostName>& initial_voters,
                     RecoveredLog recovered,
                     RandomSource& random,
                     TimePoint now)
    : self(std::move(self)),
      options(options),
      random(random),
      vote(std::move(recovered.vote)),
      snapshot(std::move(recovered.snapshot)),
      entries(recovered.entries.begin(), recovered.entries.end()),
      leader_contact(now) {
  this->base_voters =
      this->snapshot.index == 0 ? initial_voters : this->snapshot.voters;
  this->snapshot.voters = this->base_voters;
  if (initial_voters.empty() && this->LastIndex() == 0) {
    this->vote.catching_up = true;
  }
  this->persisted = this->LastIndex();
  this->commit = std::max(this->snapshot.index,
                          std::min(recovered.commit, this->persisted));
  this->persisted_commit = this->commit;
  this->delivered = this->snapshot.index;
  this->RecomputeVoters();
  this->ResetElectionTimer(now);
}

LogEffects AgreedLog::Tick(TimePoint now) {
  LogEffects effects;
  this->DeliverCommitted(effects);
  if (this->role == Role::kLeader) {
    std::set<HostName> responsive{this->self};
    for (const auto& [host, peer] : this->progress) {
      if (now - peer.last_reply < this->options.election_timeout) {
        responsive.insert(host);
      }
    }
    const bool checks_quorum =
        now - this->leader_since >= this->options.election_timeout;
    if (checks_quorum && !this->HasQuorum(responsive)) {
      this->BecomeFollower(this->vote.term, HostName(), now);
      return effects;
    }
    if (this->CommitWait(now) >= this->options.election_timeout) {
      this->ResignLeadership(now, effects);
      return effects;
    }
    if (now >= this->heartbeat_at) {
      this->SendToAll(now, effects);
    }
    return effects;
  }
  // A voter whose removal is not committed yet may be needed as the leader that
  // commits it.
  const bool may_lead = this->IsVoter() || this->voters_index > this->commit;
  if (now < this->election_at) {
    return effects;
  }
  const bool can_vote = !this->vote.catching_up && !this->IsDiskSilent(now);
  if (may_lead && can_vote) {
    this->StartPreVote(now, effects);
  } else {
    // A host that was a voter hears of no leader after this one.
    this->leader = HostName();
  }
  return effects;
}

LogEffects AgreedLog::Receive(const HostName& from,
                              const LogMessage& message,
                              TimePoint now) {
  LogEffects effects;
  if (const auto* request = std::get_if<VoteRequest>(&message)) {
    this->HandleVoteRequest(from, *request, now, effects);
  } else if (const auto* vote_reply = std::get_if<VoteReply>(&message)) {
    this->HandleVoteReply(from, *vote_reply, now, effects);
  } else if (const auto* append = std::get_if<AppendRequest>(&message)) {
    this->HandleAppend(from, *append, now, effects);
  } else if (const auto* reply = std::get_if<AppendReply>(&message)) {
    this->HandleAppendReply(from, *reply, now, effects);
  } else if (const auto* install = std::get_if<InstallRequest>(&message)) {
    this->HandleInstall(from, *install, now, effects);
  }
  return effects;
}

LogEffects AgreedLog::Persisted(std::uint64_t ticket, TimePoint now) {
  LogEffects effects;
  this->persisted_ticket = std::max(this->persisted_ticket, ticket);
  while (!this->unpersisted_batches.empty() &&
         this->unpersisted_batches.front().ticket <= this->persisted_ticket) {
    this->persisted = this->unpersisted_batches.front().end;
    this->unpersisted_batches.pop_front();
  }
  while (!this->unpersisted_commits.empty() &&
         this->unpersisted_commits.front().ticket <= this->persisted_ticket) {
    this->persisted_commit = std::max(this->persisted_commit,
                                      this->unpersisted_commits.front().commit);
    this->unpersisted_commits.pop_front();
  }
  for (DeferredSend& deferred : this->deferred_sends) {
    if (deferred.ticket <= this->persisted_ticket) {
      effects.sends.push_back(std::move(deferred.send));
    }
  }
  std::erase_if(this->deferred_sends, [&](const DeferredSend& deferred) {
    return deferred.ticket <= this->persisted_ticket;
  });
  // A candidate counts its own vote only once the vote is on disk.
  if (this->role == Role::kCandidate && this->HasQuorum(this->votes) &&
      this->persisted_ticket + 1 == this->next_ticket) {
    this->BecomeLeader(now, effects);
  }
  if (this->role == Role::kLeader) {
    this->AdvanceCommit(now, effects);
  }
  this->DeliverCommitted(effects);
  return effects;
}

Expected<LogIndex, ProposeError> AgreedLog::Propose(std::string payload,
                                                    TimePoint now,
                                                    LogEffects& effects) {
  std::vector<std::string> payloads;
  payloads.push_back(std::move(payload));
  return this->ProposeAll(std::move(payloads), now, effects);
}

Expected<LogIndex, ProposeError> AgreedLog::ProposeAll(
    std::vector<std::string> payloads,
    TimePoint now,
    LogEffects& effects) {
  if (this->role != Role::kLeader) {
    return unexpected(ProposeError::kNotLeader);
  }
  const LogIndex first = this->LastIndex() + 1;
  std::vector<LogEntry> added(payloads.size());
  for (std::size_t i = 0; i < payloads.size(); ++i) {
    added[i].kind = EntryKind::kChange;
    added[i].payload = std::move(payloads[i]);
  }
  this->Append(std::move(added), now, effects);
  return first;
}

Expected<void, ProposeError> AgreedLog::AddVoter(const HostName& host,
                                                 TimePoint now,
                                                 LogEffects& effects) {
  if (this->role != Role::kLeader) {
    return unexpected(ProposeError::kNotLeader);
  }
  if (this->voters.contains(host) || this->joining == host) {
    return {};
  }
  if (!this->joining.IsEmpty() || !this->MayChangeVoters()) {
    return unexpected(ProposeError::kChangeInProgress);
  }
  this->joining = host;
  this->progress[host] = {this->LastIndex() + 1, 0, now, TimePoint()};
  this->SendTo(host, effects);
  return {};
}

Expected<void, ProposeError> AgreedLog::RemoveVoter(const HostName& host,
                                                    TimePoint now,
                                                    LogEffects& effects) {
  if (this->role != Role::kLeader) {
    return unexpected(ProposeError::kNotLeader);
  }
  if (this->joining == host) {
    this->joining = HostName();
    this->progress.erase(host);
    return {};
  }
  if (!this->voters.contains(host)) {
    return {};
  }
  if (!this->joining.IsEmpty() || !this->MayChangeVoters() ||
      this->voters.size() == 1) {
    return unexpected(ProposeError::kChangeInProgress);
  }
  std::set<HostName> remaining = this->voters;
  remaining.erase(host);
  this->AppendVoters(std::move(remaining), now, effects);
  return {};
}

LogEffects AgreedLog::Compact(LogIndex index,
                              std::string state,
                              TimePoint now) {
  LogEffects effects;
  if (index <= this->snapshot.index || index > this->delivered) {
    return effects;
  }
  LogSnapshot newer;
  newer.index = index;
  newer.term = this->TermAt(index);
  newer.voters = this->base_voters;
  for (const LogEntry& entry : this->entries) {
    if (entry.index <= index && entry.kind == EntryKind::kVoters) {
      newer.voters = entry.voters;
    }
  }
  newer.state = std::move(state);
  while (!this->entries.empty() && this->entries.front().index <= index) {
    this->entries.pop_front();
  }
  this->base_voters = newer.voters;
  this->snapshot = newer;
  LogBatch batch;
  batch.snapshot = std::move(newer);
  this->AddBatch(std::move(batch), now, effects);
  return effects;
}

bool AgreedLog::HasLease(TimePoint now) const {
  return this->role == Role::kLeader && now < this->lease_until;
}

std::optional<TimePoint> AgreedLog::CurrentAsOf(TimePoint now) const {
  if (!this->HasLease(now) ||
      this->TermAt(this->delivered) != this->vote.term) {
    return std::nullopt;
  }
  return now - this->CommitWait(now);
}

std::optional<Duration> AgreedLog::QuorumAge(TimePoint now) const {
  if (this->role != Role::kLeader || this->lease_until == TimePoint()) {
    return std::nullopt;
  }
  return now - this->lease_until + this->options.election_timeout -
         this->options.drift;
}

Duration AgreedLog::TakeSlowestAppend() {
  return std::exchange(this->slowest_append, Duration(0));
}

LogIndex AgreedLog::LastIndex() const {
  return this->entries.empty() ? this->snapshot.index
                               : this->entries.back().index;
}

std::size_t AgreedLog::PayloadBytes() const {
  std::size_t bytes = 0;
  for (const LogEntry& entry : this->entries) {
    bytes += entry.payload.size();
  }
  return bytes;
}

std::map<HostName, TimePoint> AgreedLog::LastReplies() const {
  std::map<HostName, TimePoint> replies;
  for (const auto& [host, peer] : this->progress) {
    if (this->voters.contains(host)) {
      replies[host] = peer.last_reply;
    }
  }
  return replies;
}

bool AgreedLog::IsJoiningSilentSince(TimePoint time) const {
  const auto peer = this->progress.find(this->joining);
  return peer != this->progress.end() && peer->second.last_reply < time;
}

std::optional<std::vector<LogEntry>> AgreedLog::CommittedFrom(
    LogIndex from,
    std::size_t max_entries) const {
  if (from <= this->snapshot.index) {
    return std::nullopt;
  }
  std::vector<LogEntry> found;
  for (LogIndex i = from; i <= this->delivered && found.size() < max_entries;
       ++i) {
    found.push_back(*this->EntryAt(i));
  }
  return found;
}

void AgreedLog::BecomeFollower(Term term,
                               const HostName& new_leader,
                               TimePoint now) {
  this->role = Role::kFollower;
  if (term > this->vote.term) {
    this->vote.term = term;
    this->vote.vote = HostName();
  }
  this->leader = new_leader;
  this->votes.clear();
  this->progress.clear();
  this->joining = HostName();
  this->lease_until = TimePoint();
  this->ResetElectionTimer(now);
}

bool AgreedLog::FollowLeader(Term term, const HostName& from, TimePoint now) {
  const bool is_new_term = term > this->vote.term;
  this->BecomeFollower(term, from, now);
  if (is_new_term) {
    // The leader of this term is already elected; recording a vote for it keeps
    // this host from voting for another candidate of the same term.
    this->vote.vote = from;
  }
  this->leader_contact = now;
  return is_new_term;
}

void AgreedLog::StartPreVote(TimePoint now, LogEffects& effects) {
  if (this->role != Role::kFollower) {
    const bool is_pre_vote = this->role == Role::kPreCandidate;
    effects.failed_election = {this->vote.term + (is_pre_vote ? 1 : 0),
                               is_pre_vote, this->votes, this->refusals};
  }
  this->role = Role::kPreCandidate;
  this->leader = HostName();
  this->BeginVotes();
  // A pre-vote changes nothing at the others, so it is soon asked for again:
  // they may have started, or lost their leader, a little later.
  this->StandAfter(this->options.heartbeat, now);
  if (this->HasQuorum(this->votes)) {
    this->StartElection(now, effects);
    return;
  }
  const VoteRequest request{this->vote.term + 1, this->LastIndex(),
                            this->TermAt(this->LastIndex()), true};
  for (const HostName& host : this->Followers()) {
    effects.sends.push_back({host, request});
  }
}

void AgreedLog::StartElection(TimePoint now, LogEffects& effects) {
  this->role = Role::kCandidate;
  this->vote.term += 1;
  this->vote.vote = this->self;
  this->BeginVotes();
  this->ResetElectionTimer(now);
  LogBatch batch;
  batch.vote = this->vote;
  const std::uint64_t ticket = this->AddBatch(std::move(batch), now, effects);
  const VoteRequest request{this->vote.term, this->LastIndex(),
                            this->TermAt(this->LastIndex()), false};
  for (const HostName& host : this->Followers()) {
    this->SendAfter(ticket, {host, request}, effects);
  }
}

void AgreedLog::BecomeLeader(TimePoint now, LogEffects& effects) {
  this->role = Role::kLeader;
  this->leader = this->self;
  this->leader_since = now;
  this->progress.clear();
  for (const HostName& host : this->Followers()) {
    this->progress[host] = {this->LastIndex() + 1, 0, now, TimePoint()};
  }
  this->round_times.clear();
  this->lease_until = TimePoint();
  LogEntry first;
  if (this->LastIndex() == 0) {
    // The first entry holds the initial voters, so that hosts which start
    // without any configuration learn them from the log.
    first.kind = EntryKind::kVoters;
    first.voters = this->voters;
  }
  this->Append({std::move(first)}, now, effects);
}

void AgreedLog::BeginVotes() {
  this->votes = {this->self};
  this->refusals.clear();
}

void AgreedLog::ResetElectionTimer(TimePoint now) {
  this->StandAfter(this->options.election_timeout, now);
}

void AgreedLog::StandAfter(std::chrono::milliseconds min_wait, TimePoint now) {
  const auto spread = static_cast<std::uint64_t>(min_wait.count());
  this->election_at = now + min_wait +
                      std::chrono::milliseconds(this->random.Below(spread + 1));
}

bool AgreedLog::IsDiskSilent(TimePoint now) const {
  return !this->unpersisted_batches.empty() &&
         now - this->unpersisted_batches.front().since >=
             this->options.election_timeout;
}

Duration AgreedLog::CommitWait(TimePoint now) const {
  return this->unpersisted_commits.empty()
             ? Duration(0)
             : now - this->unpersisted_commits.front().since;
}

void AgreedLog::ResignLeadership(TimePoint now, LogEffects& effects) {
  effects.resigned_after = this->CommitWait(now);
  AppendRequest notice;
  notice.term = this->vote.term;
  notice.successor = this->FindSuccessor(now);
  const std::set<HostName> followers = this->Followers();
  this->BecomeFollower(this->vote.term, HostName(), now);
  if (notice.successor.IsEmpty()) {
    return;
  }
  this->NoteResignation(notice.successor, now);
  for (const HostName& host : followers) {
    effects.sends.push_back({host, notice});
  }
}

HostName AgreedLog::FindSuccessor(TimePoint now) const {
  HostName successor;
  LogIndex most = 0;
  for (const auto& [host, peer] : this->progress) {
    const bool has_replied =
        now - peer.last_reply < this->options.election_timeout;
    if (this->voters.contains(host) && has_replied && peer.match > most) {
      successor = host;
      most = peer.match;
    }
  }
  return successor;
}

void AgreedLog::NoteResignation(const HostName& successor, TimePoint now) {
  // The lease ended before the notice was sent, and the same host cannot lead
  // this term again, so votes need not wait.
  this->leader = HostName();
  this->leader_contact = TimePoint();
  if (successor == this->self) {
    this->election_at = now;
  }
}

void AgreedLog::YieldTo(const HostName& candidate, TimePoint now) {
  if (this->role == Role::kPreCandidate && this->self < candidate) {
    return;
  }
  if (this->role == Role::kPreCandidate) {
    this->role = Role::kFollower;
    this->votes.clear();
  }
  this->election_at =
      std::max(this->election_at, now + this->options.heartbeat);
}

bool AgreedLog::HasQuorum(const std::set<HostName>& hosts) const {
  std::size_t count = 0;
  for (const HostName& host : this->voters) {
    count += hosts.contains(host) ? 1 : 0;
  }
  return 2 * count > this->voters.size();
}

bool AgreedLog::IsUpToDate(LogIndex last_index, Term last_term) const {
  const Term own_term = this->TermAt(this->LastIndex());
  return last_term > own_term ||
         (last_term == own_term && last_index >= this->LastIndex());
}

void AgreedLog::HandleVoteRequest(const HostName& from,
                                  const VoteRequest& request,
                                  TimePoint now,
                                  LogEffects& effects) {
  std::optional<VoteRefusal> refusal = this->RefusesToVote(now);
  if (refusal) {
    effects.withheld.push_back(
        {from, request.term, request.is_pre_vote, *refusal});
    effects.sends.push_back(
        {from, VoteReply{this->vote.term, false, request.is_pre_vote}});
    return;
  }
  const VoteRecord before = this->vote;
  if (!request.is_pre_vote && request.term > this->vote.term) {
    this->BecomeFollower(request.term, HostName(), now);
  }
  refusal = this->RefusesCandidate(from, request);
  if (refusal) {
    effects.withheld.push_back(
        {from, request.term, request.is_pre_vote, *refusal});
  }
  if (request.is_pre_vote) {
    if (!refusal) {
      this->YieldTo(from, now);
    }
    const Term answered = refusal ? this->vote.term : request.term;
    effects.sends.push_back(
        {from, VoteReply{answered, !refusal.has_value(), true}});
    return;
  }
  if (!refusal) {
    this->vote.vote = from;
    this->ResetElectionTimer(now);
  }
  LogSend reply{from, VoteReply{this->vote.term, !refusal.has_value(), false}};
  if (this->vote == before) {
    this->SendAfter(this->promised_ticket, std::move(reply), effects);
    return;
  }
  LogBatch batch;
  batch.vote = this->vote;
  const std::uint64_t ticket = this->AddBatch(std::move(batch), now, effects);
  this->SendAfter(ticket, std::move(reply), effects);
}

std::optional<VoteRefusal> AgreedLog::RefusesToVote(TimePoint now) const {
  // A host with recent leader contact grants no vote: the leader's lease relies
  // on this. Nor does a host that lost its disk, and with it the record of
  // earlier votes and acknowledgements.
  if (this->role == Role::kLeader) {
    return VoteRefusal::kLeads;
  }
  if (now - this->leader_contact < this->options.election_timeout) {
    return VoteRefusal::kLeaderContact;
  }
  if (this->vote.catching_up) {
    return VoteRefusal::kCatchingUp;
  }
  return std::nullopt;
}

std::optional<VoteRefusal> AgreedLog::RefusesCandidate(
    const HostName& from,
    const VoteRequest& request) const {
  // A pre-vote is for a term that has not begun yet.
  const bool is_old_term = request.is_pre_vote ? request.term <= this->vote.term
                                               : request.term < this->vote.term;
  if (is_old_term) {
    return VoteRefusal::kOldTerm;
  }
  const bool has_voted = !this->vote.vote.IsEmpty() && this->vote.vote != from;
  if (!request.is_pre_vote && has_voted) {
    return VoteRefusal::kVoted;
  }
  if (!this->IsUpToDate(request.last_index, request.last_term)) {
    return VoteRefusal::kOldLog;
  }
  return std::nullopt;
}

void AgreedLog::HandleVoteReply(const HostName& from,
                                const VoteReply& reply,
                                TimePoint now,
                                LogEffects& effects) {
  if (!reply.granted) {
    this->refusals.insert(from);
    if (reply.term > this->vote.term) {
      this->BecomeFollower(reply.term, HostName(), now);
      LogBatch batch;
      batch.vote = this->vote;
      this->AddBatch(std::move(batch), now, effects);
    }
    return;
  }
  if (reply.is_pre_vote) {
    if (this->role != Role::kPreCandidate ||
        reply.term != this->vote.term + 1) {
      return;
    }
    this->votes.insert(from);
    if (this->HasQuorum(this->votes)) {
      this->StartElection(now, effects);
    }
    return;
  }
  if (this->role != Role::kCandidate || reply.term != this->vote.term) {
    return;
  }
  this->votes.insert(from);
  const bool own_vote_is_on_disk =
      this->persisted_ticket + 1 == this->next_ticket;
  if (this->HasQuorum(this->votes) && own_vote_is_on_disk) {
    this->BecomeLeader(now, effects);
  }
}

bool AgreedLog::AcceptLeader(const HostName& from,
                             Term term,
                             std::uint64_t request_round,
                             TimePoint now,
                             LogBatch& batch,
                             LogEffects& effects) {
  if (term < this->vote.term) {
    effects.sends.push_back(
        {from, AppendReply{this->vote.term, false, 0, request_round}});
    return false;
  }
  if (this->FollowLeader(term, from, now)) {
    batch.vote = this->vote;
  }
  return true;
}

void AgreedLog::HandleAppend(const HostName& from,
                             const AppendRequest& request,
                             TimePoint now,
                             LogEffects& effects) {
  LogBatch batch;
  if (!this->AcceptLeader(from, request.term, request.round, now, batch,
                          effects)) {
    return;
  }
  if (!request.successor.IsEmpty()) {
    if (batch.vote) {
      this->AddBatch(std::move(batch), now, effects);
    }
    this->NoteResignation(request.successor, now);
    return;
  }
  const bool has_previous =
      request.previous_index <= this->snapshot.index ||
      (request.previous_index <= this->LastIndex() &&
       this->TermAt(request.previous_index) == request.previous_term);
  if (!has_previous) {
    if (batch.vote) {
      this->AddBatch(std::move(batch), now, effects);
    }
    const LogIndex hint =
        std::min(this->LastIndex(), request.previous_index - 1);
    effects.sends.push_back(
        {from, AppendReply{this->vote.term, false, hint, request.round}});
    return;
  }
  for (const LogEntry& entry : request.entries) {
    if (entry.index <= this->snapshot.index) {
      continue;
    }
    const LogEntry* existing = this->EntryAt(entry.index);
    if (existing != nullptr && existing->term == entry.term) {
      continue;
    }
    if (existing != nullptr) {
      batch.truncate_from = entry.index;
      while (this->LastIndex() >= entry.index) {
        this->entries.pop_back();
      }
      this->persisted = std::min(this->persisted, entry.index - 1);
      for (UnpersistedBatch& unpersisted : this->unpersisted_batches) {
        unpersisted.end = std::min(unpersisted.end, entry.index - 1);
      }
    }
    this->entries.push_back(entry);
    batch.entries.push_back(entry);
  }
  if (!batch.entries.empty()) {
    this->RecomputeVoters();
  }
  const LogIndex match = request.previous_index + request.entries.size();
  // A committed entry of the leader's own term implies that all entries
  // committed earlier are in this log too.
  if (this->vote.catching_up && request.commit <= match &&
      this->TermAt(request.commit) == request.term) {
    this->vote.catching_up = false;
    batch.vote = this->vote;
  }
  std::uint64_t ticket = this->promised_ticket;
  if (batch.vote || !batch.entries.empty()) {
    ticket = this->AddBatch(std::move(batch), now, effects);
  }
  const LogIndex new_commit = std::min(request.commit, match);
  if (new_commit > this->commit) {
    this->commit = new_commit;
    this->PersistCommit(now, effects);
  }
  this->SendAfter(
      ticket, {from, AppendReply{this->vote.term, true, match, request.round}},
      effects);
  this->DeliverCommitted(effects);
}

void AgreedLog::HandleAppendReply(const HostName& from,
                                  const AppendReply& reply,
                                  TimePoint now,
                                  LogEffects& effects) {
  if (reply.term > this->vote.term) {
    this->BecomeFollower(reply.term, HostName(), now);
    LogBatch batch;
    batch.vote = this->vote;
    this->AddBatch(std::move(batch), now, effects);
    return;
  }
  const auto found = this->progress.find(from);
  if (this->role != Role::kLeader || reply.term != this->vote.term ||
      found == this->progress.end()) {
    return;
  }
  Progress& peer = found->second;
  peer.last_reply = now;
  for (const auto& [number, sent] : this->round_times) {
    if (number == reply.round) {
      peer.lease_from = std::max(peer.lease_from, sent);
      this->slowest_append = std::max(this->slowest_append, now - sent);
    }
  }
  this->UpdateLease(now);
  if (!reply.accepted) {
    if (reply.round < peer.resent_in) {
      return;
    }
    // A host that has lost its disk no longer holds entries that it
    // acknowledged earlier, so `match` can decrease.
    peer.match = std::min(peer.match, reply.match);
    peer.next = std::max<LogIndex>(1, std::min(peer.next - 1, reply.match + 1));
    this->BeginRound(now);
    peer.resent_in = this->round;
    peer.bytes_on_way = 0;
    peer.awaited = 0;
    this->SendTo(from, effects);
    return;
  }
  peer.match = std::max(peer.match, reply.match);
  peer.next = std::max(peer.next, peer.match + 1);
  if (peer.match + 1 == peer.next) {
    peer.bytes_on_way = 0;
  }
  this->AdvanceCommit(now, effects);
  // AdvanceCommit makes this leader step down if it committed its own removal.
  if (this->role != Role::kLeader) {
    return;
  }
  this->FinishJoin(now, effects);
  if (peer.next <= this->LastIndex() && peer.MaySend()) {
    this->SendTo(from, effects);
  }
}

void AgreedLog::HandleInstall(const HostName& from,
                              const InstallRequest& request,
                              TimePoint now,
                              LogEffects& effects) {
  LogBatch batch;
  if (!this->AcceptLeader(from, request.term, request.round, now, batch,
                          effects)) {
    return;
  }
  const LogSnapshot& newer = request.snapshot;
  std::uint64_t ticket = this->promised_ticket;
  if (newer.index > this->commit) {
    batch.snapshot = newer;
    batch.truncate_from = this->snapshot.index + 1;
    this->entries.clear();
    this->unpersisted_batches.clear();
    this->snapshot = newer;
    this->base_voters = newer.voters;
    this->commit = newer.index;
    this->delivered = newer.index;
    this->persisted = newer.index;
    this->persisted_commit = newer.index;
    this->unpersisted_commits.clear();
    this->RecomputeVoters();
    effects.installed = newer;
  }
  if (batch.vote || batch.snapshot) {
    ticket = this->AddBatch(std::move(batch), now, effects);
  }
  this->SendAfter(
      ticket,
      {from, AppendReply{this->vote.term, true, newer.index, request.round}},
      effects);
}

void AgreedLog::Append(std::vector<LogEntry> added,
                       TimePoint now,
                       LogEffects& effects) {
  LogBatch batch;
  bool changes_voters = false;
  for (LogEntry& entry : added) {
    entry.index = this->LastIndex() + 1;
    entry.term = this->vote.term;
    changes_voters = changes_voters || entry.kind == EntryKind::kVoters;
    this->entries.push_back(entry);
    batch.entries.push_back(std::move(entry));
  }
  if (changes_voters) {
    this->RecomputeVoters();
  }
  this->AddBatch(std::move(batch), now, effects);
  this->SendToAll(now, effects);
}

void AgreedLog::AppendVoters(std::set<HostName> next_voters,
                             TimePoint now,
                             LogEffects& effects) {
  LogEntry entry;
  entry.kind = EntryKind::kVoters;
  entry.voters = std::move(next_voters);
  this->Append({std::move(entry)}, now, effects);
}

void AgreedLog::SendToAll(TimePoint now, LogEffects& effects) {
  this->heartbeat_at = now + this->options.heartbeat;
  this->BeginRound(now);
  for (const HostName& host : this->Followers()) {
    this->progress.try_emplace(
        host, Progress{this->LastIndex() + 1, 0, now, TimePoint()});
    this->SendTo(host, effects);
  }
  this->UpdateLease(now);
}

void AgreedLog::BeginRound(TimePoint now) {
  this->round += 1;
  this->round_times.emplace_back(this->round, now);
  if (this->round_times.size() > kMaxRounds) {
    this->round_times.pop_front();
  }
}

void AgreedLog::SendTo(const HostName& host, LogEffects& effects) {
  // What has been sent is not sent again unless the follower rejects what comes
  // after it: large entries would delay the heartbeats behind them.
  Progress& peer = this->progress.at(host);
  if (peer.next <= this->snapshot.index) {
    effects.sends.push_back(
        {host, InstallRequest{this->vote.term, this->snapshot, this->round}});
    peer.next = this->snapshot.index + 1;
    peer.awaited = this->snapshot.index;
    return;
  }
  AppendRequest request;
  request.term = this->vote.term;
  request.previous_index = peer.next - 1;
  request.previous_term = this->TermAt(peer.next - 1);
  request.commit = this->commit;
  request.round = this->round;
  std::size_t bytes = 0;
  while (peer.MaySend() && peer.next <= this->LastIndex() &&
         request.entries.size() < this->options.entries_per_message &&
         bytes < this->options.bytes_per_message) {
    request.entries.push_back(*this->EntryAt(peer.next));
    bytes += request.entries.back().payload.size();
    peer.next += 1;
  }
  peer.bytes_on_way += bytes;
  if (peer.bytes_on_way >= this->options.bytes_per_message) {
    peer.bytes_on_way = 0;
    peer.awaited = peer.next - 1;
  }
  effects.sends.push_back({host, std::move(request)});
}

void AgreedLog::AdvanceCommit(TimePoint now, LogEffects& effects) {
  std::vector<LogIndex> matches;
  for (const HostName& host : this->voters) {
    if (host == this->self) {
      matches.push_back(this->persisted);
      continue;
    }
    const auto peer = this->progress.find(host);
    matches.push_back(peer == this->progress.end() ? 0 : peer->second.match);
  }
  std::sort(matches.begin(), matches.end());
  const LogIndex quorum_match = matches[(matches.size() - 1) / 2];
  // As in Raft, only an entry of the current term is committed by counting
  // replicas; it commits all entries before it.
  if (quorum_match <= this->commit ||
      this->TermAt(quorum_match) != this->vote.term) {
    return;
  }
  this->commit = quorum_match;
  this->PersistCommit(now, effects);
  this->SendToAll(now, effects);
  if (this->commit >= this->voters_index && !this->IsVoter()) {
    this->BecomeFollower(this->vote.term, HostName(), now);
  }
}

void AgreedLog::PersistCommit(TimePoint now, LogEffects& effects) {
  LogBatch batch;
  batch.commit = this->commit;
  const std::uint64_t ticket = this->AddBatch(std::move(batch), now, effects);
  this->unpersisted_commits.push_back({ticket, this->commit, now});
}

void AgreedLog::DeliverCommitted(LogEffects& effects) {
  const LogIndex end = std::min(this->persisted_commit, this->persisted);
  while (this->delivered < end) {
    this->delivered += 1;
    effects.committed.push_back(*this->EntryAt(this->delivered));
  }
}

bool AgreedLog::MayChangeVoters() const {
  return this->voters_index <= this->commit &&
         this->TermAt(this->commit) == this->vote.term;
}

void AgreedLog::FinishJoin(TimePoint now, LogEffects& effects) {
  if (this->joining.IsEmpty()) {
    return;
  }
  if (this->progress.at(this->joining).match < this->commit ||
      !this->MayChangeVoters()) {
    return;
  }
  std::set<HostName> extended = this->voters;
  extended.insert(this->joining);
  this->joining = HostName();
  this->AppendVoters(std::move(extended), now, effects);
}

void AgreedLog::UpdateLease(TimePoint now) {
  std::vector<TimePoint> times;
  for (const HostName& host : this->voters) {
    if (host == this->self) {
      times.push_back(now);
      continue;
    }
    const auto peer = this->progress.find(host);
    times.push_back(peer == this->progress.end() ? TimePoint()
                                                 : peer->second.lease_from);
  }
  std::sort(times.begin(), times.end());
  const TimePoint quorum_from = times[(times.size() - 1) / 2];
  if (quorum_from == TimePoint()) {
    return;
  }
  this->leader_contact = std::max(this->leader_contact, quorum_from);
  this->lease_until =
      quorum_from + this->options.election_timeout - this->options.drift;
}

std::uint64_t AgreedLog::AddBatch(LogBatch batch,
                                  TimePoint now,
                                  LogEffects& effects) {
  batch.ticket = this->next_ticket++;
  if (batch.vote || batch.truncate_from != 0 || !batch.entries.empty()) {
    this->promised_ticket = batch.ticket;
  }
  this->unpersisted_batches.push_back({batch.ticket, this->LastIndex(), now});
  effects.batches.push_back(std::move(batch));
  return this->next_ticket - 1;
}

void AgreedLog::SendAfter(std::uint64_t ticket,
                          LogSend send,
                          LogEffects& effects) {
  if (ticket <= this->persisted_ticket) {
    effects.sends.push_back(std::move(send));
    return;
  }
  this->deferred_sends.push_back({ticket, std::move(send)});
}

std::set<HostName> AgreedLog::Followers() const {
  std::set<HostName> followers = this->voters;
  if (!this->joining.IsEmpty()) {
    followers.insert(this->joining);
  }
  followers.erase(this->self);
  return followers;
}

const LogEntry* AgreedLog::EntryAt(LogIndex index) const {
  if (index <= this->snapshot.index || index > this->LastIndex()) {
    return nullptr;
  }
  return &this->entries[index - this->snapshot.index - 1];
}

Term AgreedLog::TermAt(LogIndex index) const {
  if (index == this->snapshot.index) {
    return this->snapshot.term;
  }
  const LogEntry* entry = this->EntryAt(index);
  return entry == nullptr ? 0 : entry->term;
}

void AgreedLog::RecomputeVoters() {
  this->voters = this->base_voters;
  this->voters_index = this->snapshot.index;
  for (const LogEntry& entry : this->entries) {
    if (entry.kind == EntryKind::kVoters) {
      this->voters = entry.voters;
      this->voters_index = entry.index;
    }
  }
}

}  // namespace tamarackwing::state
