#include "tamarackwing/policy/placement.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::policy {
namespace {

//! Costs that differ by no more are treated as equal: server reports are too
//! old to tell them apart.
constexpr std::chrono::milliseconds kSameCost{50};
//! Speeds are rounded to powers of this before they weigh groups: a group
//! moves, and its prefix is prefilled again, whenever a weight changes.
constexpr double kSpeedStep = 1.5;

//! Returns a rank that is highest for the option that owns a group: rendezvous
//! hashing, weighted by speed.
double OwnerRank(const PlacementOption& option, std::uint64_t group) {
  // The hash's upper 53 bits as a number between 0 and 1, exclusive.
  constexpr int kUnusedBits = 11;
  constexpr double kScale = 1.0 / (1ULL << 53);
  const std::uint64_t hash = RendezvousWeight(group, option.server);
  const double point =
      (static_cast<double>(hash >> kUnusedBits) + 0.5) * kScale;
  if (option.speed == 1) {
    return -1 / std::log(point);
  }
  static const double kLogStep = std::log(kSpeedStep);
  const double steps = std::round(std::log(option.speed) / kLogStep);
  return -std::exp(steps * kLogStep) / std::log(point);
}

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

Placement PlaceInGroup(const std::vector<PlacementOption>& options,
                       const PromptGroup& group) {
  Duration min_wait = Duration::max();
  for (const PlacementOption& option : options) {
    min_wait = std::min(min_wait, option.wait);
  }
  const Duration max_wait =
      min_wait + group.max_extra_prefills * group.prefill_time;
  std::size_t chosen = 0;
  double max_rank = 0;
  double owner_rank = 0;
  for (std::size_t i = 0; i < options.size(); ++i) {
    const double rank = OwnerRank(options[i], group.digest);
    owner_rank = std::max(owner_rank, rank);
    if (options[i].wait <= max_wait && rank >= max_rank) {
      max_rank = rank;
      chosen = i;
    }
  }
  return {chosen, max_rank == owner_rank};
}

}  // namespace

Placement Place(const std::vector<PlacementOption>& options,
                const PromptGroup& group,
                RandomSource& random) {
  return group.digest == 0 ? Placement{PlaceAlone(options, random), false}
                           : PlaceInGroup(options, group);
}

std::size_t ChoosePlacement(const std::vector<PlacementOption>& options,
                            const PromptGroup& group,
                            RandomSource& random) {
  return Place(options, group, random).option;
}

}  // namespace tamarackwing::policy
