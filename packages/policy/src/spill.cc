#include "tamarackwing/policy/spill.h"

#include <chrono>

namespace tamarackwing::policy {
namespace {

//! A call leaves its region only to save this much: its bytes cost on the way.
constexpr std::chrono::milliseconds kMargin{100};
constexpr std::uint64_t kWhole = 1'000;

}  // namespace

bool ShouldSpill(Duration near, Duration far, std::uint64_t key) {
  if (far + kMargin >= near) {
    return false;
  }
  // Half of the part that would even the two waits out.
  const auto part = static_cast<std::uint64_t>(
      static_cast<std::int64_t>(kWhole) * (near - far) / near / 2);
  return key % kWhole < part;
}

}  // namespace tamarackwing::policy
