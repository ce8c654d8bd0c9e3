#pragma once

#include <memory>
#include <mutex>

#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::gateway {

//! The current snapshot, swapped whole by the control thread.
//! Thread safety: every method is callable from any thread.
class SnapshotHolder {
 public:
  //! The newest snapshot; never null.
  std::shared_ptr<const state::Snapshot> Get() const;
  //! Puts a newer snapshot in its place. Precondition: `snapshot` is not null.
  void Set(std::shared_ptr<const state::Snapshot> snapshot);

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const state::Snapshot> snapshot =
      std::make_shared<const state::Snapshot>();
};

}  // namespace tamarackwing::gateway
