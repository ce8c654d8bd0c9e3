#include "turn_watch.h"

#include <utility>

namespace tamarackwing::daemon {
namespace {

using std::chrono::milliseconds;

//! A gap between two ticks from which on a leader's heartbeats are late.
constexpr milliseconds kLateGap{300};

milliseconds ToMilliseconds(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

}  // namespace

TurnWatch::Turn::Turn(TurnWatch& watch,
                      const Clock& clock,
                      std::string_view kind)
    : watch(watch), clock(clock), kind(kind), start(clock.Now()) {}

TurnWatch::Turn::~Turn() {
  this->watch.NoteTurn(this->kind, this->clock.Now() - this->start);
}

std::optional<LateTick> TurnWatch::NoteTick(TimePoint now) {
  std::optional<LateTick> late;
  const auto previous = std::exchange(this->last_tick, now);
  if (previous && now - *previous >= kLateGap) {
    late = LateTick{ToMilliseconds(now - *previous), this->turns,
                    ToMilliseconds(this->busy), ToMilliseconds(this->longest),
                    this->longest_kind};
  }
  this->turns = 0;
  this->busy = Duration::zero();
  this->longest = Duration::zero();
  this->longest_kind = {};
  return late;
}

void TurnWatch::NoteTurn(std::string_view kind, Duration took) {
  this->turns += 1;
  this->busy += took;
  TurnCount& count = this->counts[kind];
  count.turns += 1;
  count.time += took;
  if (took >= this->longest) {
    this->longest = took;
    this->longest_kind = kind;
  }
}

}  // namespace tamarackwing::daemon
