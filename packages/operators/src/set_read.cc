#include "tamarackwing/operators/set_read.h"

#include <chrono>

#include "tamarackwing/base/event.h"

namespace tamarackwing::operators {
namespace {

constexpr std::chrono::seconds kReadLogInterval{1};

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

bool SetReadLog::Note(const state::Snapshot& snapshot,
                      bool is_answered,
                      TimePoint now) {
  {
    const std::lock_guard lock(this->mutex);
    const bool is_same = this->last &&
                         this->last->set_number == snapshot.set_number &&
                         this->last->is_answered == is_answered;
    if (is_same && now - this->last->at < kReadLogInterval) {
      return false;
    }
    this->last = {snapshot.set_number, is_answered, now};
  }
  const bool has_contact = snapshot.leader_contact != TimePoint();
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - snapshot.leader_contact);
  LogEvent(Event::kSetRead, LogLevel::kInfo,
           {{"set", std::to_string(snapshot.set_number)},
            {"answered", is_answered ? "yes" : "no"},
            {"contact_ms", has_contact ? std::to_string(age.count()) : ""},
            {"source", snapshot.contact_source.Text()}});
  return true;
}

}  // namespace tamarackwing::operators
