#include "tamarackwing/gateway/admission_gate.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::gateway {
namespace {

//! Weight of a new sample in the exponential moving average is 1 over this.
constexpr int kSmoothingDivisor = 8;

}  // namespace

AdmissionGate::AdmissionGate(std::size_t capacity) : capacity(capacity) {}

void AdmissionGate::Enter(const std::string& target,
                          policy::QueuedRequest request,
                          Wake wake) {
  std::vector<Decision> decisions;
  {
    const std::lock_guard lock(this->mutex);
    Pool& pool = this->PoolOf(target);
    const std::uint64_t id = request.id;
    pool.wakes[id] = std::move(wake);
    if (!pool.queue.Push(std::move(request))) {
      Decide(pool, id, Admission::kQueueFull, decisions);
    }
    for (const policy::QueuedRequest& evicted : pool.queue.TakeEvicted()) {
      Decide(pool, evicted.id, Admission::kQueueFull, decisions);
    }
    this->StartWaiting(pool, decisions);
  }
  NotifyAll(decisions);
}

void AdmissionGate::Leave(const std::string& target, Duration held) {
  std::vector<Decision> decisions;
  {
    const std::lock_guard lock(this->mutex);
    Pool& pool = this->PoolOf(target);
    pool.running -= std::min(pool.running, 1U);
    pool.average_hold = pool.average_hold == Duration::zero()
                            ? held
                            : pool.average_hold + (held - pool.average_hold) /
                                                      kSmoothingDivisor;
    this->StartWaiting(pool, decisions);
  }
  NotifyAll(decisions);
}

bool AdmissionGate::Cancel(const std::string& target,
                           const WorkspaceName& workspace,
                           std::uint64_t id) {
  const std::lock_guard lock(this->mutex);
  Pool& pool = this->PoolOf(target);
  if (!pool.queue.Remove(workspace, id)) {
    return false;
  }
  pool.wakes.erase(id);
  return true;
}

void AdmissionGate::SetSlots(const std::string& target, std::uint32_t slots) {
  std::vector<Decision> decisions;
  {
    const std::lock_guard lock(this->mutex);
    Pool& pool = this->PoolOf(target);
    pool.slots = slots;
    this->StartWaiting(pool, decisions);
  }
  NotifyAll(decisions);
}

void AdmissionGate::Expire(TimePoint now) {
  std::vector<Decision> decisions;
  {
    const std::lock_guard lock(this->mutex);
    for (auto& [target, pool] : this->pools) {
      for (const policy::QueuedRequest& late : pool.queue.Expire(now)) {
        Decide(pool, late.id, Admission::kTooLate, decisions);
      }
    }
  }
  NotifyAll(decisions);
}

Duration AdmissionGate::EstimateWait(const std::string& target,
                                     const WorkspaceName& workspace) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->pools.find(target);
  if (found == this->pools.end()) {
    return Duration::zero();
  }
  const Pool& pool = found->second;
  return WaitBehind(pool, pool.queue.Ahead(workspace));
}

Duration AdmissionGate::EstimateQueueWait(const std::string& target) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->pools.find(target);
  if (found == this->pools.end()) {
    return Duration::zero();
  }
  return WaitBehind(found->second, found->second.queue.Size());
}

Duration AdmissionGate::WaitBehind(const Pool& pool, std::size_t waiting) {
  const std::uint64_t ahead = waiting + pool.running;
  if (pool.slots == 0 || ahead < pool.slots) {
    return Duration::zero();
  }
  const std::uint64_t releases = ahead - pool.slots + 1;
  return pool.average_hold * static_cast<std::int64_t>(releases) /
         static_cast<std::int64_t>(pool.slots);
}

std::map<std::string, std::uint32_t> AdmissionGate::Demand() const {
  const std::lock_guard lock(this->mutex);
  std::map<std::string, std::uint32_t> demand;
  for (const auto& [target, pool] : this->pools) {
    demand[target] =
        pool.running + static_cast<std::uint32_t>(pool.queue.Size());
  }
  return demand;
}

std::map<std::string, std::map<WorkspaceName, TokenCount>>
AdmissionGate::TakeServed() {
  const std::lock_guard lock(this->mutex);
  std::map<std::string, std::map<WorkspaceName, TokenCount>> served;
  for (auto& [target, pool] : this->pools) {
    auto tokens = pool.queue.TakeServed();
    if (!tokens.empty()) {
      served[target] = std::move(tokens);
    }
  }
  return served;
}

void AdmissionGate::NoteServedElsewhere(const std::string& target,
                                        const WorkspaceName& workspace,
                                        std::uint32_t weight,
                                        TokenCount tokens) {
  const std::lock_guard lock(this->mutex);
  this->PoolOf(target).queue.NoteServedElsewhere(workspace, weight, tokens);
}

AdmissionGate::Pool& AdmissionGate::PoolOf(const std::string& target) {
  return this->pools.try_emplace(target, this->capacity).first->second;
}

void AdmissionGate::StartWaiting(Pool& pool, std::vector<Decision>& decisions) {
  while (pool.running < pool.slots) {
    const auto next = pool.queue.Pop();
    if (!next) {
      return;
    }
    pool.running += 1;
    Decide(pool, next->id, Admission::kStart, decisions);
  }
}

void AdmissionGate::Decide(Pool& pool,
                           std::uint64_t id,
                           Admission admission,
                           std::vector<Decision>& decisions) {
  const auto wake = pool.wakes.find(id);
  if (wake != pool.wakes.end()) {
    decisions.push_back({std::move(wake->second), admission});
    pool.wakes.erase(wake);
  }
}

void AdmissionGate::NotifyAll(const std::vector<Decision>& decisions) {
  for (const Decision& decision : decisions) {
    decision.wake(decision.admission);
  }
}

}  // namespace tamarackwing::gateway
