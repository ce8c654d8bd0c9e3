#include "tamarackwing/control/host_watch.h"

#include <algorithm>

namespace tamarackwing::control {

HostWatch::HostWatch(std::chrono::milliseconds lost) : lost(lost) {}

void HostWatch::NoteHeard(const HostName& host, TimePoint now) {
  this->heard[host] = now;
}

void HostWatch::NoteStatus(const HostStatus& status, TimePoint taken) {
  const auto known = this->statuses.find(status.record.name);
  if (known == this->statuses.end() || known->second.taken < taken) {
    this->statuses[status.record.name] = {status, taken};
  }
}

bool HostWatch::IsHeard(const HostName& host, TimePoint now) const {
  const auto found = this->heard.find(host);
  return found != this->heard.end() && now - found->second < this->lost;
}

bool HostWatch::IsLive(const HostName& host, TimePoint now) const {
  const auto found = this->statuses.find(host);
  return found != this->statuses.end() &&
         now - found->second.taken < this->lost;
}

const HostStatus* HostWatch::StatusOf(const HostName& host) const {
  const auto found = this->statuses.find(host);
  return found == this->statuses.end() ? nullptr : &found->second.status;
}

std::vector<HostStatus> HostWatch::Recent(TimePoint now) const {
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
