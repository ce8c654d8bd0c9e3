#include "tamarackwing/base/clock.h"

namespace tamarackwing {

TimePoint SteadyClock::Now() const {
  return std::chrono::steady_clock::now();
}

TimePoint ManualClock::Now() const {
  return this->now;
}

void ManualClock::Advance(Duration step) {
  this->now += step;
}

}  // namespace tamarackwing
