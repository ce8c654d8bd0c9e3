#pragma once

#include <chrono>

namespace tamarackwing {

//! A point in time on one host's monotonic clock; not comparable between hosts.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

//! Interface: a source of the current time.
class Clock {
 public:
  virtual ~Clock() = default;
  //! Returns the current time. Thread safety: callable from any thread.
  virtual TimePoint Now() const = 0;
};

//! The host's monotonic clock.
class SteadyClock final : public Clock {
 public:
  TimePoint Now() const override;
};

//! The time since the host booted, including the time it was suspended.
//! Its time points are not comparable with those of SteadyClock.
class BootClock final : public Clock {
 public:
  TimePoint Now() const override;
};

//! A clock that tests and benchmarks advance explicitly. Not thread-safe.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override;
  //! Advances the clock. Precondition: `step` is not negative.
  void Advance(Duration step);

 private:
  TimePoint now{std::chrono::hours(1)};
};

}  // namespace tamarackwing
