#pragma once

#include <chrono>

namespace tamarackwing {

//! A moment on a host's own monotonic clock; never compared between hosts.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

//! Interface: where a host reads the time.
class Clock {
 public:
  virtual ~Clock() = default;
  //! The time now. Thread safety: callable from any thread.
  virtual TimePoint Now() const = 0;
};

//! The host's monotonic clock.
class SteadyClock final : public Clock {
 public:
  TimePoint Now() const override;
};

//! The host's time since its boot, which also runs while the host is suspended.
//! Its moments are not those of SteadyClock: never compare the two.
class BootClock final : public Clock {
 public:
  TimePoint Now() const override;
};

//! A clock that a test or a bench moves by hand. Not thread-safe.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override;
  //! Moves the clock forward. Precondition: `step` is not negative.
  void Advance(Duration step);

 private:
  TimePoint now{std::chrono::hours(1)};
};

}  // namespace tamarackwing
