#include "tamarackwing/operators/set_read.h"

namespace tamarackwing::operators {
namespace {

//! The leader contacts each host several times a second. A host without contact
//! for this long is partitioned from the leader, and other hosts may already
//! use a newer set.
constexpr std::chrono::milliseconds kMaxLeaderContactAge{1'500};

}  // namespace

std::shared_ptr<const std::string> ReadDocument(const state::Snapshot& snapshot,
                                                TimePoint now) {
  const bool is_fresh = snapshot.set_number != 0 &&
                        now - snapshot.leader_contact <= kMaxLeaderContactAge;
  return is_fresh ? snapshot.document : nullptr;
}

}  // namespace tamarackwing::operators
