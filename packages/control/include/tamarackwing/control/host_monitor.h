#pragma once

#include <chrono>
#include <map>
#include <set>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/control/peer_message.h"

namespace tamarackwing::control {

//! When each host was last heard, and what it said. Not thread-safe.
class HostMonitor {
 public:
  //! Precondition: `lost` is positive.
  explicit HostMonitor(std::chrono::milliseconds lost);

  //! Notes any message from a host.
  void NoteHeard(const HostName& host, TimePoint now);
  //! Notes a status that was taken at `taken`; an older one is dropped.
  void NoteStatus(const HostStatus& status, TimePoint taken);
  //! Whether a host was heard lately.
  bool IsHeard(const HostName& host, TimePoint now) const;
  //! Whether a host's status is recent.
  bool IsLive(const HostName& host, TimePoint now) const;
  //! The last status of a host; null where there is none.
  const HostStatus* StatusOf(const HostName& host) const;
  //! Recent statuses, with their ages.
  std::vector<HostStatus> Recent(TimePoint now) const;

 private:
  struct Known {
    HostStatus status;
    TimePoint taken;
  };
  std::chrono::milliseconds lost;
  std::map<HostName, TimePoint> heard;
  std::map<HostName, Known> statuses;
};

}  // namespace tamarackwing::control
