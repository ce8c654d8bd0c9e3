#include "tamarackwing/policy/prefill_pool.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace tamarackwing::policy {
namespace {

//! Time constant of the decay: a host sees some ten requests a second, and
//! needs a few hundred for an estimate that seldom differs from that of other
//! hosts by a step. Otherwise hosts take a server for different kinds.
constexpr std::chrono::seconds kDecay{30};
//! Max share: some servers remain for streams.
constexpr double kMaxShare = 0.75;

}  // namespace

void PrefillPool::NoteWork(bool is_long, Duration server_time, TimePoint now) {
  const double factor = std::exp(-std::chrono::duration<double>(std::max(
                                     Duration::zero(), now - this->at)) /
                                 std::chrono::duration<double>(kDecay));
  this->long_work *= factor;
  this->short_work *= factor;
  this->at = std::max(this->at, now);
  (is_long ? this->long_work : this->short_work) +=
      std::chrono::duration<double>(server_time).count();
}

double PrefillPool::Share() const {
  const double total = this->long_work + this->short_work;
  if (total <= 0) {
    return 0;
  }
  const double share = this->long_work / total;
  if (share < kStep || share > 1 - kStep) {
    return 0;
  }
  return std::min(kMaxShare, std::round(share / kStep) * kStep);
}

}  // namespace tamarackwing::policy
