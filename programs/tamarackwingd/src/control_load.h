#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "tamarackwing/base/clock.h"
#include "turn_watch.h"

namespace tamarackwing::daemon {

//! What the control thread has handled since its start, what other hosts have
//! not answered, and what is not applied yet.
struct LoadReading {
  //! All turns of each kind.
  std::map<std::string_view, TurnCount> turns;
  std::uint64_t unanswered_calls = 0;
  std::uint64_t unanswered_bytes = 0;
  //! Entries that this host knows to be committed and has not applied.
  std::uint64_t commit_behind = 0;
};

//! Collects what delays the agreed log on a host with a disk, and logs it as
//! control_load (docs/events.md). Not thread-safe.
class ControlLoad {
 public:
  //! Records a tick, and how old the majority's contact with this leader is;
  //! nullopt if this host does not lead.
  void NoteTick(TimePoint now, std::optional<Duration> quorum_age);
  //! Records how long it took until a batch was on disk.
  void NoteWrite(Duration took);
  //! Records how long it took until another host acknowledged an append.
  void NoteAppend(Duration took);
  //! Records how long it took until another host handled a message of the log.
  void NoteLogCall(Duration took);
  //! Logs what has happened since the last call.
  void Log(const LoadReading& reading);

 private:
  //! The longest of each since the last call of Log.
  struct Longest {
    Duration gap{0};
    Duration write{0};
    Duration append{0};
    Duration log_call{0};
    std::optional<Duration> quorum_age;
  };

  std::optional<TimePoint> last_tick;
  Longest longest;
  LoadReading last;
};

}  // namespace tamarackwing::daemon
