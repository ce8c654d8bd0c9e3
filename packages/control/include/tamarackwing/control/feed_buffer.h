#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "tamarackwing/state/log_entry.h"

namespace tamarackwing::control {

//! Bounded buffer of the newest applied entries, for hosts that follow this
//! one. Not thread-safe.
class FeedBuffer {
 public:
  //! Holds up to `max_size` entries and about `max_bytes` of payload.
  //! Precondition: `max_size` is positive.
  FeedBuffer(std::size_t max_size, std::size_t max_bytes);

  //! Adds the next entry and discards the oldest ones beyond the bounds.
  //! Precondition: entries are added in log order.
  void Add(const state::LogEntry& entry);
  //! Discards all entries.
  void Clear();
  //! Returns up to `max_entries` entries from `next` on; none if `next` is
  //! after `applied`, nullopt if the entry `next` is no longer held.
  std::optional<std::vector<state::LogEntry>>
  From(LogIndex next, LogIndex applied, std::size_t max_entries) const;

 private:
  std::size_t max_size;
  std::size_t max_bytes;
  std::size_t bytes = 0;
  std::deque<state::LogEntry> entries;
};

}  // namespace tamarackwing::control
