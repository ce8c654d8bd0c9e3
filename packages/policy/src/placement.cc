#include "tamarackwing/policy/placement.h"

#include <algorithm>
#include <chrono>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::policy {
namespace {

//! Costs that differ by no more are treated as equal: server reports are too
//! old to tell them apart.
constexpr std::chrono::milliseconds kSameCost{50};
//! A group leaves its server once the wait there exceeds the lowest one by more
//! than this many prefills of the common prefix. Among bounds from 1 to 10,
//! this one gave the highest throughput under heavy load.
constexpr int kMaxExtraPrefills = 4;

std::size_t PlaceAlone(const std::vector<PlacementOption>& options,
                       RandomSource& random) {
  Duration best = Duration::max();
  for (const PlacementOption& option : options) {
    best = std::min(best, option.cost);
  }
  std::vector<std::size_t> near_best;
  for (std::size_t i = 0; i < options.size(); ++i) {
    if (options[i].cost <= best + kSameCost) {
      near_best.push_back(i);
    }
  }
  const std::size_t first = near_best[random.Below(near_best.size())];
  const std::size_t second = near_best[random.Below(near_best.size())];
  return options[second].cost < options[first].cost ? second : first;
}

std::size_t PlaceInGroup(const std::vector<PlacementOption>& options,
                         const PromptGroup& group) {
  Duration min_wait = Duration::max();
  for (const PlacementOption& option : options) {
    min_wait = std::min(min_wait, option.wait);
  }
  const Duration max_wait = min_wait + kMaxExtraPrefills * group.prefill_time;
  std::size_t chosen = 0;
  std::uint64_t max_weight = 0;
  for (std::size_t i = 0; i < options.size(); ++i) {
    const std::uint64_t weight =
        RendezvousWeight(group.digest, options[i].server);
    if (options[i].wait <= max_wait && weight >= max_weight) {
      max_weight = weight;
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
