#include "spill_log.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "tamarackwing/base/event.h"

namespace tamarackwing::daemon {
namespace {

using std::chrono::milliseconds;

std::string MillisecondsText(Duration time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

std::uint32_t ShareOf(const SpillReport& report, const RegionName& region) {
  for (const policy::SpillShare& share : report.shares) {
    if (share.region == region) {
      return share.per_mille;
    }
  }
  return 0;
}

//! Returns the regions with their loads and shares, as docs/events.md says.
std::string RegionsText(const SpillReport& report) {
  std::string text;
  for (const policy::RegionWork& region : report.regions) {
    text += text.empty() ? "" : " ";
    text += region.region.Text() + "=" + std::to_string(region.offered) + "/" +
            std::to_string(region.movable) + "/" +
            std::to_string(region.capacity) + "/" +
            std::to_string(ShareOf(report, region.region));
  }
  return text;
}

}  // namespace

void SpillLog::Publish(const std::vector<SpillReport>& reports,
                       Metrics& metrics) {
  std::set<std::string> set_now;
  std::set<std::string> moving_now;
  for (const SpillReport& report : reports) {
    for (const policy::RegionWork& region : report.regions) {
      const std::string labels = "{target=\"" + report.target + "\",region=\"" +
                                 region.region.Text() + "\"}";
      const std::initializer_list<std::pair<const char*, std::uint32_t>>
          values = {
              {"tamarackwing_region_offered_work", region.offered},
              {"tamarackwing_region_movable_work", region.movable},
              {"tamarackwing_region_capacity", region.capacity},
              {"tamarackwing_spill_share", ShareOf(report, region.region)}};
      for (const auto& [name, value] : values) {
        metrics.Set(name + labels, value);
        set_now.insert(name + labels);
      }
    }
    if (!report.shares.empty()) {
      moving_now.insert(report.target);
    }
    if (!report.shares.empty() || this->moving.contains(report.target)) {
      LogEvent(Event::kSpillPlanned, LogLevel::kInfo,
               {{"target", report.target},
                {"regions", RegionsText(report)},
                {"age_ms", MillisecondsText(report.age)},
                {"prefill_ms", MillisecondsText(report.prefill)}});
    }
  }
  for (const std::string& name : this->gauges) {
    if (!set_now.contains(name)) {
      metrics.Remove(name);
    }
  }
  this->gauges = std::move(set_now);
  this->moving = std::move(moving_now);
}

}  // namespace tamarackwing::daemon
