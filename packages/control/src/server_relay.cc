#include "tamarackwing/control/server_relay.h"

#include <utility>

namespace tamarackwing::control {

ServerRelay::ServerRelay(const ControlOptions& options)
    : resend_for(options.leaving_resend_for),
      resend_every(options.leaving_resend_every) {}

bool ServerRelay::AddReport(const policy::ServerReport& report, TimePoint now) {
  if (!report.leaving) {
    this->waiting[report.name] = report;
    const auto old_process = this->leaving.find(report.name);
    if (old_process != this->leaving.end() &&
        old_process->second.report.started < report.started) {
      this->leaving.erase(old_process);
    }
    return false;
  }
  this->waiting.erase(report.name);
  Leaving& entry = this->leaving[report.name];
  const bool is_new = entry.report.name.IsEmpty();
  // Never replace a report that has the server's address by one without it.
  if (is_new || !report.address.empty()) {
    entry.report = report;
  }
  entry.until = now + this->resend_for;
  if (is_new) {
    entry.resend_at = now;
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
    if (entry.resend_at <= now) {
      entry.resend_at = now + this->resend_every;
      due[entry.report.region].push_back(entry.report);
    }
  }
  return due;
}

}  // namespace tamarackwing::control
