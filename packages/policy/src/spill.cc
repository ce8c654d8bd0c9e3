#include "tamarackwing/policy/spill.h"

#include <chrono>

namespace tamarackwing::policy {
namespace {

//! Min time that spilling must save, since cross-region traffic has a cost.
constexpr std::chrono::milliseconds kMinSaving{100};
constexpr std::uint64_t kPerMille = 1'000;

}  // namespace

bool ShouldSpill(Duration local_wait, Duration remote_wait, std::uint64_t key) {
  if (remote_wait + kMinSaving >= local_wait) {
    return false;
  }
  // Half of the share that would equalize the two waits.
  const auto spilled =
      static_cast<std::uint64_t>(static_cast<std::int64_t>(kPerMille) *
                                 (local_wait - remote_wait) / local_wait / 2);
  return key % kPerMille < spilled;
}

}  // namespace tamarackwing::policy
