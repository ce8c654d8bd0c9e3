#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::daemon {

//! Measures how long batches wait until they are on disk. The agreed log and
//! the ledger number their batches separately. Not thread-safe.
class DiskWatch {
 public:
  enum class Journal { kLog, kLedger };

  //! Records that a batch was handed over. Precondition: the tickets of a
  //! journal rise.
  void NoteQueued(Journal journal, std::uint64_t ticket, TimePoint now);
  //! Records that all batches of a journal up to `ticket` are on disk. Returns
  //! how long the oldest of them waited.
  Duration NoteWritten(Journal journal, std::uint64_t ticket, TimePoint now);
  //! Returns how long the oldest batch that is not on disk has waited; zero if
  //! there is none.
  Duration Waiting(TimePoint now) const;

  //! Returns how long the disk has taken no batch, once, when that has become
  //! long.
  std::optional<Duration> TakeStall(TimePoint now);
  //! Returns how long the disk took no batch, once, after a stall that
  //! TakeStall returned has ended.
  std::optional<Duration> TakeEndOfStall(TimePoint now);

 private:
  //! Returns when the oldest batch that is not on disk was handed over; nullopt
  //! if there is none.
  std::optional<TimePoint> OldestQueued() const;

  std::map<Journal, std::map<std::uint64_t, TimePoint>> queued;
  //! Since when a batch waits, in the stall that TakeStall has returned.
  std::optional<TimePoint> stalled_since;
};

}  // namespace tamarackwing::daemon
