#pragma once

#include <set>
#include <string>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

//! Kind of an entry of the agreed log.
enum class EntryKind {
  //! No content: a new leader appends it at the start of its term.
  kEmpty,
  //! An encoded ControlChange.
  kChange,
  //! The set of voters, in effect as soon as the entry is in the log.
  kVoters,
};

//! An entry of the agreed log.
struct LogEntry {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kEmpty;
  std::string payload;
  //! Set for kVoters only.
  std::set<HostName> voters;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

//! Persistent voting state of a host (Raft's current term and vote).
struct VoteRecord {
  Term term = 0;
  //! Candidate that received this host's vote in `term`; empty if none did.
  HostName vote;
  //! Set on a host that has lost its disk, until it again holds every entry
  //! that it may have acknowledged before the loss. Until then it grants no
  //! votes.
  bool catching_up = false;

  friend bool operator==(const VoteRecord&, const VoteRecord&) = default;
};

//! The control state at `index`, which replaces all entries up to `index`.
struct LogSnapshot {
  LogIndex index = 0;
  Term term = 0;
  std::set<HostName> voters;
  std::string state;

  friend bool operator==(const LogSnapshot&, const LogSnapshot&) = default;
};

}  // namespace tamarackwing::state
