#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::operators {

//! Returns the document of the newest configuration set, or null if this host
//! may not have the newest one. `now` is a time of the clock that
//! `Snapshot::leader_contact` uses.
//! Thread safety: as for `snapshot`.
std::shared_ptr<const std::string> ReadDocument(const state::Snapshot& snapshot,
                                                TimePoint now);

//! Logs what reads of the configuration set were answered with, as set_read
//! (docs/events.md): each change of the answer, and else one read a second.
//! Thread safety: every method is callable from any thread.
class SetReadLog {
 public:
  //! Records a read that got the document of `snapshot`, or was refused.
  //! Returns whether it was logged.
  bool Note(const state::Snapshot& snapshot, bool is_answered, TimePoint now);

 private:
  struct Logged {
    std::uint64_t set_number = 0;
    bool is_answered = false;
    TimePoint at;
  };

  std::mutex mutex;
  std::optional<Logged> last;
};

}  // namespace tamarackwing::operators
