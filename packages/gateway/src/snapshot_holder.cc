#include "tamarackwing/gateway/snapshot_holder.h"

#include <utility>

namespace tamarackwing::gateway {

std::shared_ptr<const state::Snapshot> SnapshotHolder::Get() const {
  const std::lock_guard lock(this->mutex);
  return this->snapshot;
}

void SnapshotHolder::Set(std::shared_ptr<const state::Snapshot> newer) {
  const std::lock_guard lock(this->mutex);
  this->snapshot = std::move(newer);
}

}  // namespace tamarackwing::gateway
