#include "tamarackwing/base/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace tamarackwing {
namespace {

namespace acc = boost::accumulators;

constexpr std::array kQuantiles = {0.5, 0.9, 0.99, 0.999};

using LatencyAccumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

}  // namespace

struct Metrics::Distribution {
  LatencyAccumulator seconds{acc::extended_p_square_probabilities = kQuantiles};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name, std::uint64_t by) {
  const std::lock_guard lock(this->mutex);
  this->counters[name] += by;
}

void Metrics::Set(const std::string& name, double value) {
  const std::lock_guard lock(this->mutex);
  this->gauges[name] = value;
}

void Metrics::Remove(const std::string& name) {
  const std::lock_guard lock(this->mutex);
  this->gauges.erase(name);
}

void Metrics::Record(const std::string& name,
                     std::chrono::nanoseconds latency) {
  const std::lock_guard lock(this->mutex);
  std::unique_ptr<Distribution>& distribution = this->distributions[name];
  if (!distribution) {
    distribution = std::make_unique<Distribution>();
  }
  distribution->seconds(std::chrono::duration<double>(latency).count());
}

std::string Metrics::Render() const {
  std::ostringstream out;
  const std::lock_guard lock(this->mutex);
  for (const auto& [name, value] : this->counters) {
    out << name << ' ' << value << '\n';
  }
  for (const auto& [name, value] : this->gauges) {
    out << name << ' ' << value << '\n';
  }
  for (const auto& [name, distribution] : this->distributions) {
    const LatencyAccumulator& seconds = distribution->seconds;
    for (const double quantile : kQuantiles) {
      out << name << "{quantile=\"" << quantile << "\"} "
          << acc::quantile(seconds, acc::quantile_probability = quantile)
          << '\n';
    }
    out << name << "_sum " << acc::sum(seconds) << '\n';
    out << name << "_count " << acc::count(seconds) << '\n';
  }
  return out.str();
}

}  // namespace tamarackwing
