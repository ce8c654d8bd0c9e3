#include "tamarackwing/operators/set_read.h"

namespace tamarackwing::operators {
namespace {

//! Word from the leader comes several times a second; without it for so long
//! this host is cut off, and others may have put a newer set in force.
constexpr std::chrono::milliseconds kReadFreshness{1'500};

}  // namespace

std::shared_ptr<const std::string> ReadDocument(const state::Snapshot& snapshot,
                                                TimePoint now) {
  const bool is_sure = snapshot.set_number != 0 &&
                       now - snapshot.leader_contact <= kReadFreshness;
  return is_sure ? snapshot.document : nullptr;
}

}  // namespace tamarackwing::operators
