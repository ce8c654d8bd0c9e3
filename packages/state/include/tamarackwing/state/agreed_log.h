#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/state/log_entry.h"
#include "tamarackwing/state/log_message.h"

namespace tamarackwing {
class RandomSource;
}

namespace tamarackwing::state {

//! Timing and size limits of the agreed log.
struct LogOptions {
  //! Interval between a leader's heartbeats.
  std::chrono::milliseconds heartbeat{300};
  //! Minimum election timeout. A follower draws its timeout at random from one
  //! to two times this value.
  std::chrono::milliseconds election_timeout{1'500};
  //! Allowance for clock drift: the leader's lease ends this long before the
  //! minimum election timeout, counted from when it sent the heartbeat that a
  //! quorum acknowledged.
  std::chrono::milliseconds drift{150};
  //! Maximum number of entries in one AppendRequest.
  std::size_t entries_per_message = 64;
  //! Payload size, in bytes, from which on an AppendRequest takes no further
  //! entry, and a follower gets no further entries before it has acknowledged
  //! those on their way. Heartbeats wait behind no more than that.
  std::size_t bytes_per_message = std::size_t{64} * 1024;
};

//! State of the log as recovered from disk after a restart.
struct RecoveredLog {
  VoteRecord vote;
  LogSnapshot snapshot;
  std::vector<LogEntry> entries;
  //! Index up to which entries were known to be committed.
  LogIndex commit = 0;
};

//! Changes to write to disk in one step. Once they are synced, the caller
//! passes `ticket` to AgreedLog::Persisted.
struct LogBatch {
  std::uint64_t ticket = 0;
  std::optional<VoteRecord> vote;
  //! Index from which stored entries are removed before `entries` are appended;
  //! zero removes none.
  LogIndex truncate_from = 0;
  std::vector<LogEntry> entries;
  std::optional<LogSnapshot> snapshot;
  //! Commit index to record; zero leaves the recorded one unchanged. An entry
  //! is delivered only after its commit index is on disk, so that a restart
  //! never returns to a state older than one already in effect.
  LogIndex commit = 0;
};

//! An outgoing message to another host.
struct LogSend {
  HostName to;
  LogMessage message;
};

//! Why a host did not vote for a candidate.
enum class VoteRefusal {
  //! It may still be led: it heard of a leader, or started, less than an
  //! election timeout ago.
  kLeaderContact,
  kLeads,
  //! It has lost its disk and does not hold all committed entries yet.
  kCatchingUp,
  //! The candidate's log lacks entries that it holds.
  kOldLog,
  kOldTerm,
  kVoted
};

//! A vote that was requested of this host and withheld.
struct WithheldVote {
  HostName candidate;
  Term term = 0;
  bool is_pre_vote = false;
  VoteRefusal refusal = VoteRefusal::kVoted;
};

//! An election, or the pre-vote before one, that this host did not win in time.
struct FailedElection {
  Term term = 0;
  bool is_pre_vote = false;
  //! The voters that voted for this host, itself among them, and those that
  //! refused; the others did not reply.
  std::set<HostName> granted;
  std::set<HostName> refused;
};

//! Actions that the caller must carry out. Their order is free, except that
//! batches are written in order and acknowledged by their tickets.
struct LogEffects {
  std::vector<LogSend> sends;
  std::vector<LogBatch> batches;
  //! Newly committed entries, in index order.
  std::vector<LogEntry> committed;
  //! Snapshot received from the leader, which replaces the control state.
  std::optional<LogSnapshot> installed;
  //! For the caller's log.
  std::vector<WithheldVote> withheld;
  std::optional<FailedElection> failed_election;
  //! For the caller's log: set if this leader resigned, and how long a
  //! committed entry had waited for its disk by then.
  std::optional<Duration> resigned_after;
};

//! Reason why the log did not accept a change.
enum class ProposeError { kNotLeader, kChangeInProgress };

//! Leader-based replicated log after Raft, with pre-vote, check-quorum, a
//! leader lease measured from the time a heartbeat was sent, snapshots, and
//! membership changes by one voter at a time; a new voter first catches up as a
//! non-voter. Performs no I/O: time, random numbers, storage acknowledgements
//! and messages are passed in by the caller. Not thread-safe.
class AgreedLog {
 public:
  //! Preconditions: `random` outlives the log; `initial_voters` is the same on
  //! every host that bootstraps the log, and empty on a host that has lost its
  //! disk. Such a host votes only after a leader has brought it up to date.
  AgreedLog(HostName self,
            LogOptions options,
            const std::set<HostName>& initial_voters,
            RecoveredLog recovered,
            RandomSource& random,
            TimePoint now);

  //! Runs the timers that are due at `now`: heartbeats, quorum check,
  //! elections.
  LogEffects Tick(TimePoint now);
  //! Handles a message from another host.
  LogEffects Receive(const HostName& from,
                     const LogMessage& message,
                     TimePoint now);
  //! Records that the batch with this ticket, and all earlier ones, are synced
  //! to disk.
  LogEffects Persisted(std::uint64_t ticket, TimePoint now);
  //! Appends a change and returns its index; it is not yet committed.
  //! Errors: kNotLeader.
  Expected<LogIndex, ProposeError> Propose(std::string payload,
                                           TimePoint now,
                                           LogEffects& effects);
  //! Appends changes, which are written and sent together, and returns the
  //! index of the first. Precondition: `payloads` is not empty.
  //! Errors: kNotLeader.
  Expected<LogIndex, ProposeError> ProposeAll(std::vector<std::string> payloads,
                                              TimePoint now,
                                              LogEffects& effects);
  //! Starts replicating to a host and makes it a voter once it has caught up.
  //! Does nothing if it already is a voter or is being added.
  //! Errors: kNotLeader, kChangeInProgress.
  Expected<void, ProposeError> AddVoter(const HostName& host,
                                        TimePoint now,
                                        LogEffects& effects);
  //! Removes a voter, or cancels the addition of one. Removal of the last voter
  //! fails with kChangeInProgress. Errors: kNotLeader, kChangeInProgress.
  Expected<void, ProposeError> RemoveVoter(const HostName& host,
                                           TimePoint now,
                                           LogEffects& effects);
  //! Replaces the entries up to `index` with a snapshot of the state at
  //! `index`. Precondition: the entry at `index` has been committed and
  //! delivered.
  LogEffects Compact(LogIndex index, std::string state, TimePoint now);

  bool IsLeader() const { return this->role == Role::kLeader; }
  //! Returns true if this host is the leader and its lease has not expired, so
  //! that no other host can be the leader.
  bool HasLease(TimePoint now) const;
  //! Returns the time before which everything that was committed has been
  //! delivered here: `now`, unless committed entries wait for this host's disk.
  //! nullopt if this host has no lease, or has not yet delivered an entry of
  //! its own term, as until then it may lack what former leaders committed.
  std::optional<TimePoint> CurrentAsOf(TimePoint now) const;
  //! Returns how long ago a majority of the voters, counting this host, last
  //! had contact with this leader; nullopt if this host does not lead, or has
  //! had none.
  std::optional<Duration> QuorumAge(TimePoint now) const;
  //! Returns the longest time until another host acknowledged an append since
  //! the last call.
  Duration TakeSlowestAppend();
  //! Returns the leader known to this host; empty if none is known.
  const HostName& Leader() const { return this->leader; }
  Term CurrentTerm() const { return this->vote.term; }
  LogIndex Commit() const { return this->commit; }
  LogIndex LastIndex() const;
  LogIndex SnapshotIndex() const { return this->snapshot.index; }
  //! Returns the total payload size, in bytes, of the entries after the
  //! snapshot.
  std::size_t PayloadBytes() const;
  const std::set<HostName>& Voters() const { return this->voters; }
  bool IsVoter() const { return this->voters.contains(this->self); }
  //! Returns when each other voter last replied to this leader; for one that
  //! has not replied, when this leader began to expect it.
  std::map<HostName, TimePoint> LastReplies() const;
  //! Returns the host that is catching up before it becomes a voter; empty if
  //! there is none.
  const HostName& Joining() const { return this->joining; }
  //! Returns whether a host is catching up whose last reply to this leader is
  //! older than `time`.
  bool IsJoiningSilentSince(TimePoint time) const;
  //! Returns up to `max_entries` delivered entries, starting at `from`; nullopt
  //! if entry `from` has been compacted into the snapshot.
  std::optional<std::vector<LogEntry>> CommittedFrom(
      LogIndex from,
      std::size_t max_entries) const;
  //! Returns the latest snapshot.
  const LogSnapshot& Snapshot() const { return this->snapshot; }

 private:
  enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

  //! A leader's view of one follower.
  struct Progress {
    //! Index of the next entry to send; those before it are acknowledged or on
    //! their way.
    LogIndex next = 1;
    //! Highest index known to be on the follower's disk.
    LogIndex match = 0;
    TimePoint last_reply;
    //! Send time of the latest heartbeat that the follower acknowledged.
    TimePoint lease_from;
    //! The round in which entries were last sent again. The follower may reject
    //! what was sent before it, which says nothing new.
    std::uint64_t resent_in = 0;
    //! Payload of the entries sent since the follower had acknowledged all.
    std::size_t bytes_on_way = 0;
    //! Entries are sent only once the follower has acknowledged this one.
    LogIndex awaited = 0;

    bool MaySend() const { return this->match >= this->awaited; }
  };
  //! A batch that is not on disk.
  struct UnpersistedBatch {
    std::uint64_t ticket = 0;
    //! Last index that is on disk once the batch is.
    LogIndex end = 0;
    TimePoint since;
  };
  //! A commit index that is not on disk.
  struct UnpersistedCommit {
    std::uint64_t ticket = 0;
    LogIndex commit = 0;
    //! When this host learnt that the index is committed.
    TimePoint since;
  };
  //! A message held back until the batch with this ticket is on disk.
  struct DeferredSend {
    std::uint64_t ticket = 0;
    LogSend send;
  };

  void BecomeFollower(Term term, const HostName& new_leader, TimePoint now);
  //! Follows `from` as leader of `term`. Returns true if the term is new and
  //! must be written to disk.
  bool FollowLeader(Term term, const HostName& from, TimePoint now);
  void StartPreVote(TimePoint now, LogEffects& effects);
  void StartElection(TimePoint now, LogEffects& effects);
  void BecomeLeader(TimePoint now, LogEffects& effects);
  //! Counts votes anew, beginning with this host's own.
  void BeginVotes();
  void ResetElectionTimer(TimePoint now);
  //! Makes this host stand for election after one to two times `min_wait`.
  void StandAfter(std::chrono::milliseconds min_wait, TimePoint now);
  //! Returns whether this host's disk has taken no write for so long that it
  //! does not stand for election: it could not vote for itself.
  bool IsDiskSilent(TimePoint now) const;
  //! Returns how long an entry that is committed has waited for this host's
  //! disk; zero if none does.
  Duration CommitWait(TimePoint now) const;
  //! Steps down as a leader whose disk does not keep up with those of the
  //! others, and transfers leadership to one of them.
  void ResignLeadership(TimePoint now, LogEffects& effects);
  //! Returns the other voter that has replied lately and has the most entries
  //! on disk; empty if none has replied.
  HostName FindSuccessor(TimePoint now) const;
  //! Records that the leader of this term leads no more, and asks `successor`
  //! to stand for election.
  void NoteResignation(const HostName& successor, TimePoint now);
  //! Lets a candidate that got this host's pre-vote go first, for a heartbeat
  //! interval, so that the two do not split the votes. Of two hosts that ask
  //! at the same time, the one with the lesser name goes on.
  void YieldTo(const HostName& candidate, TimePoint now);
  bool HasQuorum(const std::set<HostName>& hosts) const;
  bool IsUpToDate(LogIndex last_index, Term last_term) const;
  //! Returns why this host may vote for no candidate now; nullopt if it may.
  std::optional<VoteRefusal> RefusesToVote(TimePoint now) const;
  //! Returns why it does not vote for `from`, apart from RefusesToVote.
  std::optional<VoteRefusal> RefusesCandidate(const HostName& from,
                                              const VoteRequest& request) const;

  void HandleVoteRequest(const HostName& from,
                         const VoteRequest& request,
                         TimePoint now,
                         LogEffects& effects);
  void HandleVoteReply(const HostName& from,
                       const VoteReply& reply,
                       TimePoint now,
                       LogEffects& effects);
  //! Returns false, and sends a refusal, if `term` is older than the current
  //! one. Otherwise follows the leader and adds a new term to `batch`.
  bool AcceptLeader(const HostName& from,
                    Term term,
                    std::uint64_t request_round,
                    TimePoint now,
                    LogBatch& batch,
                    LogEffects& effects);
  void HandleAppend(const HostName& from,
                    const AppendRequest& request,
                    TimePoint now,
                    LogEffects& effects);
  void HandleAppendReply(const HostName& from,
                         const AppendReply& reply,
                         TimePoint now,
                         LogEffects& effects);
  void HandleInstall(const HostName& from,
                     const InstallRequest& request,
                     TimePoint now,
                     LogEffects& effects);

  void Append(std::vector<LogEntry> added, TimePoint now, LogEffects& effects);
  void AppendVoters(std::set<HostName> next_voters,
                    TimePoint now,
                    LogEffects& effects);
  void SendToAll(TimePoint now, LogEffects& effects);
  //! Begins a round: what is sent from `now` on has a higher round than what
  //! was sent before.
  void BeginRound(TimePoint now);
  void SendTo(const HostName& host, LogEffects& effects);
  void AdvanceCommit(TimePoint now, LogEffects& effects);
  void PersistCommit(TimePoint now, LogEffects& effects);
  //! Delivers entries that are committed and on disk, along with their commit
  //! index.
  void DeliverCommitted(LogEffects& effects);
  //! Returns whether this leader may append other voters: the last change of
  //! voters is committed, and so is an entry of this term, without which the
  //! majorities of two leaders' changes need not overlap.
  bool MayChangeVoters() const;
  //! Makes the joining host a voter once it has caught up.
  void FinishJoin(TimePoint now, LogEffects& effects);
  void UpdateLease(TimePoint now);
  std::uint64_t AddBatch(LogBatch batch, TimePoint now, LogEffects& effects);
  //! Sends a message once the batch with this ticket is on disk.
  void SendAfter(std::uint64_t ticket, LogSend send, LogEffects& effects);
  //! Returns the other voters and the joining host.
  std::set<HostName> Followers() const;
  const LogEntry* EntryAt(LogIndex index) const;
  Term TermAt(LogIndex index) const;
  void RecomputeVoters();

  HostName self;
  LogOptions options;
  RandomSource& random;

  VoteRecord vote;
  LogSnapshot snapshot;
  std::deque<LogEntry> entries;
  //! Voters as of the snapshot.
  std::set<HostName> base_voters;
  //! Voters of the latest membership entry, committed or not.
  std::set<HostName> voters;
  //! Index of the latest membership entry.
  LogIndex voters_index = 0;

  Role role = Role::kFollower;
  HostName leader;
  TimePoint leader_contact;
  TimePoint election_at;
  TimePoint heartbeat_at;
  TimePoint leader_since;
  LogIndex commit = 0;
  //! Index up to which committed entries were delivered to the caller.
  LogIndex delivered = 0;
  //! Index up to which entries are on disk.
  LogIndex persisted = 0;

  std::set<HostName> votes;
  //! Voters that refused their vote in this election.
  std::set<HostName> refusals;
  std::map<HostName, Progress> progress;
  HostName joining;
  //! Number of the latest heartbeat round.
  std::uint64_t round = 0;
  //! Send times of the latest rounds.
  std::deque<std::pair<std::uint64_t, TimePoint>> round_times;
  TimePoint lease_until;
  Duration slowest_append{0};

  std::uint64_t next_ticket = 1;
  std::uint64_t persisted_ticket = 0;
  //! Ticket of the last batch with a vote or with entries: what this host tells
  //! others rests on it, but not on commit indexes and compacted logs, which
  //! may take long to write.
  std::uint64_t promised_ticket = 0;
  //! The batches that are not yet synced, in order.
  std::deque<UnpersistedBatch> unpersisted_batches;
  //! Commit indexes in batches that are not yet synced, in order.
  std::deque<UnpersistedCommit> unpersisted_commits;
  //! Highest commit index that is on disk.
  LogIndex persisted_commit = 0;
  std::vector<DeferredSend> deferred_sends;
};

}  // namespace tamarackwing::state
