#include "tamarackwing/policy/spill_plan.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace tamarackwing::policy {
namespace {

constexpr double kPerMille = 1'000;
//! Steps of the bisection; the level is then exact to 1e-9 of the highest
//! utilization.
constexpr int kSteps = 30;

double Utilization(const RegionWork& region) {
  return static_cast<double>(region.offered) / region.capacity;
}

//! Returns the work that a region sends away if it comes down to `hot`.
double Outflow(const RegionWork& region, double hot) {
  const double excess = region.offered - hot * region.capacity;
  return std::clamp<double>(excess, 0,
                            std::min(region.movable, region.offered));
}

//! Returns the work that a region can take if others come down to `hot`.
double Room(const RegionWork& region,
            double hot,
            Duration round_trip,
            Duration prefill) {
  const double cool = std::min(hot, CoolLevel(hot, round_trip, prefill));
  return std::max(0.0, cool * region.capacity - region.offered);
}

//! The round trip to the own region from the others, which this region does not
//! measure: the shortest of those to them.
Duration RoundTripToOwn(const std::vector<RegionWork>& regions,
                        const RegionName& own) {
  std::optional<Duration> shortest;
  for (const RegionWork& region : regions) {
    if (region.region != own) {
      shortest =
          std::min(shortest.value_or(region.round_trip), region.round_trip);
    }
  }
  return shortest.value_or(Duration::zero());
}

}  // namespace

double CoolLevel(double hot, Duration round_trip, Duration prefill) {
  if (hot >= 1) {
    return 1;
  }
  const double link = std::chrono::duration<double>(round_trip) /
                      std::chrono::duration<double>(prefill);
  const double slowdown = 1 / (1 - hot) - link;
  // A slowdown below 1 would need a server faster than an idle one.
  return slowdown < 1 ? -1 : 1 - 1 / slowdown;
}

std::vector<SpillShare> PlanSpill(const std::vector<RegionWork>& regions,
                                  const RegionName& own,
                                  Duration prefill) {
  std::vector<RegionWork> known;
  for (const RegionWork& region : regions) {
    if (region.capacity > 0) {
      known.push_back(region);
    }
  }
  std::sort(known.begin(), known.end(),
            [](const RegionWork& a, const RegionWork& b) {
              return a.region < b.region;
            });
  const auto self = std::find_if(
      known.begin(), known.end(),
      [&](const RegionWork& region) { return region.region == own; });
  if (self == known.end() || self->movable == 0 || self->offered == 0 ||
      prefill <= Duration::zero()) {
    return {};
  }
  self->round_trip = RoundTripToOwn(known, own);
  // The work that leaves falls as the level rises, and the room grows.
  double low = 0;
  double high = 0;
  for (const RegionWork& region : known) {
    high = std::max(high, Utilization(region));
  }
  for (int step = 0; step < kSteps; ++step) {
    const double level = (low + high) / 2;
    double out = 0;
    double in = 0;
    for (const RegionWork& region : known) {
      out += Outflow(region, level);
      in += Room(region, level, region.round_trip, prefill);
    }
    (out > in ? low : high) = level;
  }
  const double out = Outflow(*self, high);
  double room = 0;
  for (const RegionWork& region : known) {
    room += Room(region, high, region.round_trip, prefill);
  }
  std::vector<SpillShare> shares;
  if (out <= 0 || room <= 0) {
    return shares;
  }
  const double movable = std::min(self->movable, self->offered);
  for (const RegionWork& region : known) {
    const double part = Room(region, high, region.round_trip, prefill) / room;
    const auto per_mille =
        static_cast<std::uint32_t>(kPerMille * out * part / movable);
    if (per_mille > 0) {
      shares.push_back({region.region, per_mille});
    }
  }
  return shares;
}

}  // namespace tamarackwing::policy
