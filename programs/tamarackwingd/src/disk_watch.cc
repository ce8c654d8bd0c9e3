#include "disk_watch.h"

#include <algorithm>
#include <chrono>

namespace tamarackwing::daemon {
namespace {

//! Time that a batch waits from which on the disk counts as stalled.
constexpr std::chrono::milliseconds kStall{1'000};

}  // namespace

void DiskWatch::NoteQueued(Journal journal,
                           std::uint64_t ticket,
                           TimePoint now) {
  this->queued[journal][ticket] = now;
}

Duration DiskWatch::NoteWritten(Journal journal,
                                std::uint64_t ticket,
                                TimePoint now) {
  std::map<std::uint64_t, TimePoint>& batches = this->queued[journal];
  const auto end = batches.upper_bound(ticket);
  const Duration longest =
      batches.begin() == end ? Duration(0) : now - batches.begin()->second;
  batches.erase(batches.begin(), end);
  return longest;
}

std::optional<TimePoint> DiskWatch::OldestQueued() const {
  std::optional<TimePoint> oldest;
  for (const auto& [journal, batches] : this->queued) {
    if (!batches.empty()) {
      const TimePoint first = batches.begin()->second;
      oldest = std::min(oldest.value_or(first), first);
    }
  }
  return oldest;
}

Duration DiskWatch::Waiting(TimePoint now) const {
  const auto oldest = this->OldestQueued();
  return oldest ? now - *oldest : Duration(0);
}

std::optional<Duration> DiskWatch::TakeStall(TimePoint now) {
  const auto oldest = this->OldestQueued();
  if (this->stalled_since || !oldest || now - *oldest < kStall) {
    return std::nullopt;
  }
  this->stalled_since = oldest;
  return now - *oldest;
}

std::optional<Duration> DiskWatch::TakeEndOfStall(TimePoint now) {
  const auto oldest = this->OldestQueued();
  if (!this->stalled_since || (oldest && now - *oldest >= kStall)) {
    return std::nullopt;
  }
  const Duration lasted = now - *this->stalled_since;
  this->stalled_since.reset();
  return lasted;
}

}  // namespace tamarackwing::daemon
