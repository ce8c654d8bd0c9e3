#include "tamarackwing/policy/placement.h"

#include <algorithm>
#include <chrono>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::policy {
namespace {

//! Costs nearer than this are the same: what is known of servers is that old.
constexpr std::chrono::milliseconds kSameCost{50};
//! A group leaves its server once so many readings of its text wait there. Of
//! bounds between one and ten readings, this one served most on days of high
//! load.
constexpr int kReadingWeighs = 4;

std::size_t PlaceAlone(const std::vector<PlacementOption>& options,
                       RandomSource& random) {
  Duration best = Duration::max();
  for (const PlacementOption& option : options) {
    best = std::min(best, option.cost);
  }
  std::vector<std::size_t> near;
  for (std::size_t i = 0; i < options.size(); ++i) {
    if (options[i].cost <= best + kSameCost) {
      near.push_back(i);
    }
  }
  const std::size_t first = near[random.Below(near.size())];
  const std::size_t second = near[random.Below(near.size())];
  return options[second].cost < options[first].cost ? second : first;
}

std::size_t PlaceInGroup(const std::vector<PlacementOption>& options,
                         const PromptGroup& group) {
  Duration least = Duration::max();
  for (const PlacementOption& option : options) {
    least = std::min(least, option.wait);
  }
  const Duration max_wait = least + kReadingWeighs * group.prefill_time;
  std::size_t chosen = 0;
  std::uint64_t heaviest = 0;
  for (std::size_t i = 0; i < options.size(); ++i) {
    const std::uint64_t weight =
        RendezvousWeight(group.digest, options[i].server);
    if (options[i].wait <= max_wait && weight >= heaviest) {
      heaviest = weight;
      chosen = i;
    }
  }
  return chosen;
}

}  // namespace

std::size_t ChoosePlacement(const std::vector<PlacementOption>& options,
                            const PromptGroup& group,
                            RandomSource& random) {
  return group.digest == 0 ? PlaceAlone(options, random)
                           : PlaceInGroup(options, group);
}

}  // namespace tamarackwing::policy
