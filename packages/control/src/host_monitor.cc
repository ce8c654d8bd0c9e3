#include "tamarackwing/control/host_monitor.h"

#include <algorithm>

namespace tamarackwing::control {

HostMonitor::HostMonitor(std::chrono::milliseconds lost) : lost(lost) {}

void HostMonitor::NoteHeard(const HostName& host, TimePoint now) {
  this->last_heard[host] = now;
}

void HostMonitor::NoteStatus(const HostStatus& status, TimePoint taken) {
  const auto known = this->statuses.find(status.record.name);
  if (known == this->statuses.end() || known->second.taken < taken) {
    this->statuses[status.record.name] = {status, taken};
  }
}

bool HostMonitor::IsHeard(const HostName& host,
                          std::chrono::milliseconds limit,
                          TimePoint now) const {
  const auto found = this->last_heard.find(host);
  return found != this->last_heard.end() && now - found->second < limit;
}

bool HostMonitor::IsLive(const HostName& host, TimePoint now) const {
  const auto found = this->statuses.find(host);
  return found != this->statuses.end() &&
         now - found->second.taken < this->lost;
}

const HostStatus* HostMonitor::StatusOf(const HostName& host) const {
  const auto found = this->statuses.find(host);
  return found == this->statuses.end() ? nullptr : &found->second.status;
}

std::vector<HostStatus> HostMonitor::Recent(TimePoint now) const {
  std::vector<HostStatus> recent;
  for (const auto& [host, known] : this->statuses) {
    if (now - known.taken >= this->lost) {
      continue;
    }
    HostStatus status = known.status;
    status.age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - known.taken);
    recent.push_back(std::move(status));
  }
  return recent;
}

}  // namespace tamarackwing::control
