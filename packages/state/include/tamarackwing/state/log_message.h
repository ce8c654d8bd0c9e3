#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "tamarackwing/state/log_entry.h"

namespace tamarackwing::state {

//! Requests a vote. A pre-vote asks whether the vote would be granted, without
//! changing the receiver's term or vote.
struct VoteRequest {
  Term term = 0;
  LogIndex last_index = 0;
  Term last_term = 0;
  bool is_pre_vote = false;
};

struct VoteReply {
  Term term = 0;
  bool granted = false;
  bool is_pre_vote = false;
};

//! Replicates entries; serves as a heartbeat if there are none.
struct AppendRequest {
  Term term = 0;
  LogIndex previous_index = 0;
  Term previous_term = 0;
  std::vector<LogEntry> entries;
  LogIndex commit = 0;
  //! Number of the leader's heartbeat round. The reply repeats it, so that the
  //! leader can extend its lease from the time the round was sent.
  std::uint64_t round = 0;
  //! Set if the leader resigns with this message, which then has no entries:
  //! the voter that is to stand for election at once. Ignored by builds that do
  //! not know it, which elect a leader once they hear of none.
  HostName successor;
};

struct AppendReply {
  Term term = 0;
  bool accepted = false;
  //! If accepted, the index up to which the follower's log matches and is on
  //! disk; otherwise a hint of the last index that may match.
  LogIndex match = 0;
  std::uint64_t round = 0;
};

//! Installs a snapshot on a host whose next entry the leader has already
//! compacted. Answered by an AppendReply.
struct InstallRequest {
  Term term = 0;
  LogSnapshot snapshot;
  std::uint64_t round = 0;
};

//! A message between hosts of the agreed log.
using LogMessage = std::
    variant<VoteRequest, VoteReply, AppendRequest, AppendReply, InstallRequest>;

}  // namespace tamarackwing::state
