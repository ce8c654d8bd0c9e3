#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "tamarackwing/state/log_entry.h"

namespace tamarackwing::state {

//! Asks for a vote; a pre-vote asks whether a vote would be given.
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

//! Entries, or a heartbeat where there are none.
struct AppendRequest {
  Term term = 0;
  LogIndex previous_index = 0;
  Term previous_term = 0;
  std::vector<LogEntry> entries;
  LogIndex commit = 0;
  //! Numbers the leader's heartbeats, for its lease.
  std::uint64_t round = 0;
};

struct AppendReply {
  Term term = 0;
  bool accepted = false;
  //! Persisted up to here; where not accepted, where to go on from.
  LogIndex match = 0;
  std::uint64_t round = 0;
};

//! A snapshot for a host whose next entry is no longer held.
struct InstallRequest {
  Term term = 0;
  LogSnapshot snapshot;
  std::uint64_t round = 0;
};

//! What the voters of the agreed log tell each other.
using LogMessage = std::
    variant<VoteRequest, VoteReply, AppendRequest, AppendReply, InstallRequest>;

}  // namespace tamarackwing::state
