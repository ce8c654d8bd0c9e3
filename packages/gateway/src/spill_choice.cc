#include "spill_choice.h"

#include <vector>

#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::gateway {
namespace {

constexpr std::uint64_t kPerMille = 1'000;

}  // namespace

const PlannedRegion* ChooseRegion(
    const SpillPlan& plan,
    std::uint64_t key,
    const std::function<bool(const PlannedRegion&)>& may_use) {
  // The texts make two independent hashes of the key.
  if (policy::RendezvousWeight(key, "moves") % kPerMille >= plan.per_mille) {
    return nullptr;
  }
  std::vector<const PlannedRegion*> usable;
  std::uint64_t total = 0;
  for (const PlannedRegion& region : plan.regions) {
    if (region.per_mille > 0 && may_use(region)) {
      usable.push_back(&region);
      total += region.per_mille;
    }
  }
  if (total == 0) {
    return nullptr;
  }
  std::uint64_t point = policy::RendezvousWeight(key, "region") % total;
  for (const PlannedRegion* region : usable) {
    if (point < region->per_mille) {
      return region;
    }
    point -= region->per_mille;
  }
  return nullptr;
}

}  // namespace tamarackwing::gateway
