#include "tamarackwing/base/clock.h"

#include <time.h>

namespace tamarackwing {

TimePoint SteadyClock::Now() const {
  return std::chrono::steady_clock::now();
}

TimePoint BootClock::Now() const {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

TimePoint ManualClock::Now() const {
  return this->now;
}

void ManualClock::Advance(Duration step) {
  this->now += step;
}

}  // namespace tamarackwing
