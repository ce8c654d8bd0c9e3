#pragma once

#include <set>
#include <string>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

//! What an entry of the agreed log holds.
enum class EntryKind {
  //! Nothing: a new leader's first entry.
  kEmpty,
  //! A change of the control state, encoded.
  kChange,
  //! The voters from here on.
  kVoters,
};

//! One entry of the agreed log.
struct LogEntry {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kEmpty;
  std::string payload;
  //! For kVoters.
  std::set<HostName> voters;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

//! What a voter must not forget beside its entries.
struct VoteRecord {
  Term term = 0;
  HostName vote;
  //! Set on a host that has lost its disk, until it holds again all that it
  //! may have confirmed; till then it votes for nobody.
  bool catching_up = false;

  friend bool operator==(const VoteRecord&, const VoteRecord&) = default;
};

//! The control state at an index, in place of the entries up to it.
struct LogSnapshot {
  LogIndex index = 0;
  Term term = 0;
  std::set<HostName> voters;
  std::string state;

  friend bool operator==(const LogSnapshot&, const LogSnapshot&) = default;
};

}  // namespace tamarackwing::state
