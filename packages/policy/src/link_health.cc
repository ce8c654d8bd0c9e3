#include "tamarackwing/policy/link_health.h"

#include <algorithm>

namespace tamarackwing::policy {

LinkHealth::LinkHealth(LinkHealthLimits limits) : limits(limits) {}

void LinkHealth::NoteFailure(const BackendServerName& server, TimePoint now) {
  if (this->state == LinkState::kUp) {
    std::erase_if(this->failed, [&](const auto& entry) {
      return now - entry.second > this->limits.window;
    });
  }
  if (this->state != LinkState::kDown) {
    this->failed[server] = now;
  }
}

void LinkHealth::NoteConnected() {
  this->state = LinkState::kUp;
  this->failed.clear();
  this->pending.clear();
  this->announced.clear();
  this->round_started = false;
}

void LinkHealth::NoteNewServer(const BackendServerName& server) {
  if (this->state == LinkState::kDown &&
      this->announced.size() < this->limits.round) {
    this->announced.push_back(server);
  }
}

bool LinkHealth::IsSuspicious(std::size_t known, TimePoint now) const {
  const auto recent = std::count_if(
      this->failed.begin(), this->failed.end(), [&](const auto& entry) {
        return now - entry.second <= this->limits.window;
      });
  return static_cast<std::size_t>(recent) >=
         std::min(this->limits.failures, known);
}

bool LinkHealth::WantsProbes(std::size_t known, TimePoint now) const {
  switch (this->state) {
    case LinkState::kUp:
      return !this->failed.empty() && this->IsSuspicious(known, now);
    case LinkState::kSuspect:
      return !this->round_started;
    case LinkState::kDown:
      break;
  }
  return now >= this->next_probe_at || !this->announced.empty();
}

std::vector<BackendServerName> LinkHealth::ServersToProbe(
    const std::vector<BackendServerName>& known,
    TimePoint now) {
  if (known.empty()) {
    // Nothing can be learnt without servers.
    this->NoteConnected();
    return {};
  }
  if (!this->WantsProbes(known.size(), now)) {
    return {};
  }
  if (this->state != LinkState::kDown) {
    this->state = LinkState::kSuspect;
    this->round_started = true;
    this->next_probe_at = now + this->limits.down_interval;
    auto round = this->Next(known, this->limits.round);
    this->pending.insert(round.begin(), round.end());
    return round;
  }
  std::vector<BackendServerName> chosen(this->announced.begin(),
                                        this->announced.end());
  this->announced.clear();
  if (now >= this->next_probe_at) {
    this->next_probe_at = now + this->limits.down_interval;
    for (BackendServerName& name :
         this->Next(known, this->limits.down_probes)) {
      chosen.push_back(std::move(name));
    }
  }
  return chosen;
}

void LinkHealth::NoteProbeFailed(const BackendServerName& server) {
  if (this->state != LinkState::kSuspect || this->pending.erase(server) == 0) {
    return;
  }
  this->failed[server] = TimePoint();
  if (this->pending.empty()) {
    this->state = LinkState::kDown;
  }
}

std::vector<BackendServerName> LinkHealth::Next(
    const std::vector<BackendServerName>& known,
    std::size_t count) {
  std::vector<BackendServerName> chosen;
  for (std::size_t i = 0; i < std::min(count, known.size()); ++i) {
    chosen.push_back(known[this->next++ % known.size()]);
  }
  return chosen;
}

}  // namespace tamarackwing::policy
