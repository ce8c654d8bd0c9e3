#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::daemon {

//! What the control thread did between two ticks that are far apart.
struct LateTick {
  std::chrono::milliseconds gap{0};
  std::size_t turns = 0;
  //! Time spent in all turns, and in the longest.
  std::chrono::milliseconds busy{0};
  std::chrono::milliseconds longest{0};
  std::string_view longest_kind;
};

//! The turns of one kind.
struct TurnCount {
  std::uint64_t turns = 0;
  Duration time{0};
};

//! Measures the turns of the control thread. Not thread-safe.
class TurnWatch {
 public:
  //! Measures one turn from its construction to its destruction.
  //! Preconditions: `watch`, `clock` and the text behind `kind` outlive it.
  class Turn {
   public:
    Turn(TurnWatch& watch, const Clock& clock, std::string_view kind);
    ~Turn();
    Turn(const Turn&) = delete;
    Turn& operator=(const Turn&) = delete;

   private:
    TurnWatch& watch;
    const Clock& clock;
    std::string_view kind;
    TimePoint start;
  };

  //! Returns what happened since the previous tick if that is long ago.
  std::optional<LateTick> NoteTick(TimePoint now);
  //! Returns all turns of each kind.
  const std::map<std::string_view, TurnCount>& Counts() const {
    return this->counts;
  }

 private:
  void NoteTurn(std::string_view kind, Duration took);

  std::optional<TimePoint> last_tick;
  std::size_t turns = 0;
  Duration busy{0};
  Duration longest{0};
  std::string_view longest_kind;
  std::map<std::string_view, TurnCount> counts;
};

}  // namespace tamarackwing::daemon
