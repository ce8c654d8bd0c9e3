#pragma once

#include <memory>
#include <mutex>

#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::gateway {

//! Holder of the current snapshot, which the control thread replaces
//! atomically. Thread safety: every method is callable from any thread.
class SnapshotHolder {
 public:
  //! Returns the newest snapshot; never null.
  std::shared_ptr<const state::Snapshot> Get() const;
  //! Replaces the snapshot. Precondition: `snapshot` is not null.
  void Set(std::shared_ptr<const state::Snapshot> snapshot);

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const state::Snapshot> snapshot =
      std::make_shared<const state::Snapshot>();
};

}  // namespace tamarackwing::gateway
