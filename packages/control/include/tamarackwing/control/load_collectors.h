#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/state/host_record.h"

namespace tamarackwing::control {

//! Returns the live hosts with disks of a region in the order in which its
//! entry hosts choose the one that adds up their load reports: all choose the
//! same one while they know the same hosts and leader. The leader comes last.
//! `leader` may be empty. Thread safety: reentrant.
std::vector<HostName> LoadCollectors(
    const RegionName& region,
    const HostName& leader,
    const std::map<HostName, state::HostRecord>& hosts,
    const std::set<HostName>& live);

//! Decides when an entry host sends a load report, and to which collector. A
//! state machine without I/O. Not thread-safe.
class LoadFollower {
 public:
  explicit LoadFollower(std::chrono::milliseconds interval);

  //! Returns the collector to which a report is due now; nullopt if none is.
  //! `collectors` come in order of preference; one that has not replied lately
  //! is passed over for a while.
  std::optional<HostName> Due(const std::vector<HostName>& collectors,
                              TimePoint now);
  bool IsDue(TimePoint now) const { return now >= this->due_at; }
  void NoteReply(const HostName& from, TimePoint now);

 private:
  std::chrono::milliseconds interval;
  TimePoint due_at;
  HostName collector;
  //! When the collector last replied or was first asked.
  TimePoint heard_at;
  //! Until when each collector that did not reply is passed over.
  std::map<HostName, TimePoint> silent_until;
};

}  // namespace tamarackwing::control
