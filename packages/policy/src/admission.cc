#include "tamarackwing/policy/admission.h"

#include <algorithm>
#include <chrono>

namespace tamarackwing::policy {
namespace {

constexpr std::int64_t kWhole = 1'000;
//! All are taken while the wait is below this part of the target, none from
//! the second on: reading the prompt takes the rest.
constexpr std::int64_t kAllBelow = 300;
constexpr std::int64_t kNoneFrom = 900;
//! A queue that has just formed is known this late by other hosts.
constexpr std::chrono::milliseconds kLeastAway{300};

}  // namespace

Duration SlotWait(double load, double slots, Duration run) {
  const double waiting = load + 1 - slots;
  if (slots <= 0 || waiting <= 0) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(waiting / slots * run);
}

bool ShouldAdmit(Duration wait, Duration target, std::uint64_t key) {
  if (target <= Duration::zero()) {
    return true;
  }
  const std::int64_t part = kWhole * wait / target;
  const std::int64_t taken =
      kWhole * (kNoneFrom - part) / (kNoneFrom - kAllBelow);
  return static_cast<std::int64_t>(key % kWhole) <
         std::clamp<std::int64_t>(taken, 0, kWhole);
}

Duration ShedRetryDelay(Duration wait, Duration target, std::uint64_t key) {
  const Duration least =
      std::max<Duration>(kLeastAway, wait - target * kAllBelow / kWhole);
  return least +
         least * static_cast<std::int64_t>(key / kWhole % kWhole) / kWhole;
}

}  // namespace tamarackwing::policy
