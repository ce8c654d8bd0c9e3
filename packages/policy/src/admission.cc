#include "tamarackwing/policy/admission.h"

#include <algorithm>
#include <chrono>

namespace tamarackwing::policy {
namespace {

constexpr std::int64_t kPerMille = 1'000;
//! Bounds of the wait, in per mille of the target: up to the first all requests
//! are admitted, from the second on none, since the prefill needs the rest of
//! the target.
constexpr std::int64_t kAdmitAllBelow = 300;
constexpr std::int64_t kAdmitNoneFrom = 900;
//! Min retry delay of a shed request: the time after which other hosts know
//! that requests are waiting on this one.
constexpr std::chrono::milliseconds kMinRetryDelay{300};

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
  const std::int64_t wait_permille = kPerMille * wait / target;
  const std::int64_t admitted = kPerMille * (kAdmitNoneFrom - wait_permille) /
                                (kAdmitNoneFrom - kAdmitAllBelow);
  return static_cast<std::int64_t>(key % kPerMille) <
         std::clamp<std::int64_t>(admitted, 0, kPerMille);
}

bool FitsDeadline(const ExpectedTimes& expected, Duration left) {
  return expected.wait + expected.prefill + expected.run <= left;
}

Duration ShedRetryDelay(Duration wait, Duration target, std::uint64_t key) {
  const Duration min_delay = std::max<Duration>(
      kMinRetryDelay, wait - target * kAdmitAllBelow / kPerMille);
  return min_delay +
         min_delay * static_cast<std::int64_t>(key / kPerMille % kPerMille) /
             kPerMille;
}

}  // namespace tamarackwing::policy
