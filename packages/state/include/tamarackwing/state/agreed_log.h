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

//! The times and bounds of the agreed log.
struct LogOptions {
  std::chrono::milliseconds heartbeat{300};
  //! A follower waits this long, or up to twice as long, for its leader.
  std::chrono::milliseconds election_timeout{1'500};
  //! The leader's lease ends this much before the shortest election.
  std::chrono::milliseconds drift{150};
  std::size_t entries_per_message = 64;
};

//! What a host reads back from its disk.
struct RecoveredLog {
  VoteRecord vote;
  LogSnapshot snapshot;
  std::vector<LogEntry> entries;
  //! Entries up to here were committed.
  LogIndex commit = 0;
};

//! What must be on disk before a ticket is given back.
struct LogBatch {
  std::uint64_t ticket = 0;
  std::optional<VoteRecord> vote;
  //! Entries from here on are replaced by `entries`; zero keeps all.
  LogIndex truncate_from = 0;
  std::vector<LogEntry> entries;
  std::optional<LogSnapshot> snapshot;
  //! Entries up to here are committed; zero says nothing. An entry takes effect
  //! only after this is on disk, so that a restart never goes back behind it.
  LogIndex commit = 0;
};

//! A message to another host.
struct LogSend {
  HostName to;
  LogMessage message;
};

//! What the log wants done, in any order but for the ticket of the batch.
struct LogEffects {
  std::vector<LogSend> sends;
  std::vector<LogBatch> batches;
  //! Newly committed entries, in order.
  std::vector<LogEntry> committed;
  //! A snapshot that replaces the control state.
  std::optional<LogSnapshot> installed;
};

//! Why a change was not taken.
enum class ProposeError { kNotLeader, kChangeUnderWay };

//! A leader-based replicated log in the style of Raft: pre-vote, check-quorum,
//! a leader lease counted from the sending of a heartbeat, snapshots, and
//! changes of one voter at a time after it has caught up.
//! Pure: time, random numbers, storage and messages come in. Not thread-safe.
class AgreedLog {
 public:
  //! Preconditions: `random` outlives the log; `initial_voters` is the same on
  //! every host that founds the log, and empty on a host that has lost its
  //! disk, which then votes only once a leader has brought it up to date.
  AgreedLog(HostName self,
            LogOptions options,
            const std::set<HostName>& initial_voters,
            RecoveredLog recovered,
            RandomSource& random,
            TimePoint now);

  //! Lets time pass.
  LogEffects Tick(TimePoint now);
  //! Takes a message from another host.
  LogEffects Receive(const HostName& from,
                     const LogMessage& message,
                     TimePoint now);
  //! Says that a batch, and every one before it, is on disk.
  LogEffects Persisted(std::uint64_t ticket, TimePoint now);
  //! Appends a change. Errors: kNotLeader.
  Expected<LogIndex, ProposeError> Propose(std::string payload,
                                           TimePoint now,
                                           LogEffects& effects);
  //! Starts to bring a host up to date and then makes it a voter.
  //! Errors: kNotLeader, kChangeUnderWay.
  Expected<void, ProposeError> AddVoter(const HostName& host,
                                        TimePoint now,
                                        LogEffects& effects);
  //! Removes a voter. Errors: kNotLeader, kChangeUnderWay.
  Expected<void, ProposeError> RemoveVoter(const HostName& host,
                                           TimePoint now,
                                           LogEffects& effects);
  //! Replaces the entries up to `index` by a snapshot of the state there.
  //! Precondition: `index` was committed and handed out.
  LogEffects Compact(LogIndex index, std::string state);

  bool IsLeader() const { return this->role == Role::kLeader; }
  //! Whether the leader's lease runs: no other host leads now.
  bool HasLease(TimePoint now) const;
  //! The leader as far as known; empty where none is.
  const HostName& Leader() const { return this->leader; }
  Term CurrentTerm() const { return this->vote.term; }
  LogIndex Commit() const { return this->commit; }
  LogIndex LastIndex() const;
  LogIndex SnapshotIndex() const { return this->snapshot.index; }
  //! Bytes of payload behind the snapshot.
  std::size_t PayloadBytes() const;
  const std::set<HostName>& Voters() const { return this->voters; }
  bool IsVoter() const { return this->voters.contains(this->self); }
  //! Voters that have not answered the leader since `time`.
  std::set<HostName> SilentSince(TimePoint time) const;
  //! The host that is being brought up to date; empty where none is.
  const HostName& Joining() const { return this->joining; }
  //! Committed entries from `from` on; nothing where they are compacted.
  std::optional<std::vector<LogEntry>> CommittedFrom(
      LogIndex from,
      std::size_t max_entries) const;
  //! The newest snapshot.
  const LogSnapshot& Snapshot() const { return this->snapshot; }

 private:
  enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

  struct Progress {
    LogIndex next = 1;
    LogIndex match = 0;
    TimePoint heard;
    //! When the newest heartbeat that was answered had been sent.
    TimePoint lease_from;
  };
  struct Waiting {
    std::uint64_t ticket = 0;
    LogSend send;
  };

  void BecomeFollower(Term term, const HostName& new_leader, TimePoint now);
  //! Whether the term is new, and must be put on disk.
  bool FollowLeader(Term term, const HostName& from, TimePoint now);
  void StartPreVote(TimePoint now, LogEffects& effects);
  void StartElection(TimePoint now, LogEffects& effects);
  void BecomeLeader(TimePoint now, LogEffects& effects);
  void ResetElectionTimer(TimePoint now);
  bool HasQuorum(const std::set<HostName>& hosts) const;
  bool IsUpToDate(LogIndex last_index, Term last_term) const;

  void HandleVoteRequest(const HostName& from,
                         const VoteRequest& request,
                         TimePoint now,
                         LogEffects& effects);
  void HandleVoteReply(const HostName& from,
                       const VoteReply& reply,
                       TimePoint now,
                       LogEffects& effects);
  //! Refuses who leads an older term; notes a new term in `batch`.
  bool AcceptLeader(const HostName& from,
                    Term term,
                    std::uint64_t its_round,
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

  void Append(LogEntry entry, TimePoint now, LogEffects& effects);
  void AppendVoters(std::set<HostName> next_voters,
                    TimePoint now,
                    LogEffects& effects);
  void SendToAll(TimePoint now, LogEffects& effects);
  void SendTo(const HostName& host, LogEffects& effects);
  void AdvanceCommit(TimePoint now, LogEffects& effects);
  void MarkCommit(LogEffects& effects);
  void HandOut(LogEffects& effects);
  void FinishJoin(TimePoint now, LogEffects& effects);
  void UpdateLease(TimePoint now);
  std::uint64_t AddBatch(LogBatch batch, LogEffects& effects);
  void SendAfter(std::uint64_t ticket, LogSend send, LogEffects& effects);
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
  std::set<HostName> base_voters;
  std::set<HostName> voters;
  LogIndex voters_index = 0;

  Role role = Role::kFollower;
  HostName leader;
  TimePoint leader_contact;
  TimePoint election_at;
  TimePoint heartbeat_at;
  TimePoint leader_since;
  LogIndex commit = 0;
  LogIndex handed_out = 0;
  LogIndex persisted = 0;

  std::set<HostName> votes;
  std::map<HostName, Progress> progress;
  HostName joining;
  std::uint64_t round = 0;
  std::deque<std::pair<std::uint64_t, TimePoint>> round_times;
  TimePoint lease_until;

  std::uint64_t next_ticket = 1;
  std::uint64_t persisted_ticket = 0;
  std::deque<std::pair<std::uint64_t, LogIndex>> batch_ends;
  std::deque<std::pair<std::uint64_t, LogIndex>> commit_marks;
  LogIndex marked = 0;
  std::vector<Waiting> waiting;
};

}  // namespace tamarackwing::state
