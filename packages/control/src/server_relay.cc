#include "tamarackwing/control/server_relay.h"

#include <utility>

namespace tamarackwing::control {

ServerRelay::ServerRelay(const ControlOptions& options)
    : told(options.leaving_resend_for), again(options.leaving_resend_every) {}

bool ServerRelay::Take(const policy::ServerReport& report, TimePoint now) {
  if (!report.leaving) {
    this->waiting[report.name] = report;
    const auto left = this->leaving.find(report.name);
    if (left != this->leaving.end() &&
        left->second.report.started < report.started) {
      this->leaving.erase(left);
    }
    return false;
  }
  this->waiting.erase(report.name);
  Leaving& entry = this->leaving[report.name];
  const bool is_new = entry.report.name.IsEmpty();
  // What says where the server is says more than that it is gone.
  if (is_new || !report.address.empty()) {
    entry.report = report;
  }
  entry.until = now + this->told;
  if (is_new) {
    entry.again_at = now;
  }
  return is_new;
}

std::map<RegionName, std::vector<policy::ServerReport>> ServerRelay::Due(
    TimePoint now) {
  std::map<RegionName, std::vector<policy::ServerReport>> due;
  for (auto& [name, report] : this->waiting) {
    due[report.region].push_back(std::move(report));
  }
  this->waiting.clear();
  std::erase_if(this->leaving,
                [&](const auto& entry) { return entry.second.until <= now; });
  for (auto& [name, entry] : this->leaving) {
    if (entry.again_at <= now) {
      entry.again_at = now + this->again;
      due[entry.report.region].push_back(entry.report);
    }
  }
  return due;
}

}  // namespace tamarackwing::control
