#include "tamarackwing/policy/rejection_gate.h"

#include <algorithm>

namespace tamarackwing::policy {
namespace {

//! The share of a server's tolerance that the hosts use up, in percent; the
//! rest is for requests that are in flight when a host learns that the server
//! is full.
constexpr double kUsedPercent = 50;
constexpr double kPercent = 100;
constexpr double kPerKilosecond = 1'000;
constexpr double kMinPauseSeconds = 0.1;
//! Longest pause, whatever a server names, so that one that accepts requests
//! again is noticed.
constexpr double kMaxPauseSeconds = 5;

}  // namespace

void RejectionGate::SetTolerance(std::uint64_t per_kilosecond,
                                 std::size_t hosts) {
  const double per_second = static_cast<double>(per_kilosecond) /
                            kPerKilosecond * kUsedPercent / kPercent;
  const double seconds = per_second > 0
                             ? static_cast<double>(hosts) / per_second
                             : kMaxPauseSeconds;
  this->pause =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          std::clamp(seconds, kMinPauseSeconds, kMaxPauseSeconds)));
}

bool RejectionGate::MaySend(TimePoint now) const {
  return !this->paused_until ||
         (!this->is_probing && now >= *this->paused_until);
}

std::optional<Duration> RejectionGate::Wait(TimePoint now) const {
  if (!this->paused_until) {
    return Duration::zero();
  }
  if (this->is_probing) {
    return std::nullopt;
  }
  return std::max(Duration::zero(), *this->paused_until - now);
}

void RejectionGate::NoteSent() {
  this->is_probing = this->paused_until.has_value();
}

void RejectionGate::NoteEnded() {
  this->is_probing = false;
}

bool RejectionGate::NoteAccepted() {
  const bool ends_pause = this->is_probing;
  if (ends_pause) {
    this->paused_until.reset();
    this->is_probing = false;
  }
  return ends_pause;
}

void RejectionGate::NoteRejected(TimePoint now) {
  this->PauseUntil(now + this->pause);
}

void RejectionGate::PauseUntil(TimePoint until) {
  this->paused_until = std::max(this->paused_until.value_or(until), until);
  this->is_probing = false;
}

}  // namespace tamarackwing::policy
