#include "tamarackwing/gateway/active_requests.h"

#include <utility>
#include <vector>

namespace tamarackwing::gateway {

std::uint64_t ActiveRequests::Add(const KeyDigest& key, Cancel cancel) {
  const std::lock_guard lock(this->mutex);
  const std::uint64_t id = this->next++;
  this->entries.emplace(id, Entry{key, std::move(cancel)});
  return id;
}

void ActiveRequests::Remove(std::uint64_t id) {
  const std::lock_guard lock(this->mutex);
  this->entries.erase(id);
}

std::size_t ActiveRequests::CancelKey(const KeyDigest& key,
                                      RefusalCode reason) {
  std::vector<Cancel> cancels;
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& [id, entry] : this->entries) {
      if (entry.key == key) {
        cancels.push_back(entry.cancel);
      }
    }
  }
  for (const Cancel& cancel : cancels) {
    cancel(reason);
  }
  return cancels.size();
}

std::size_t ActiveRequests::Count() const {
  const std::lock_guard lock(this->mutex);
  return this->entries.size();
}

}  // namespace tamarackwing::gateway
