#pragma once

#include <chrono>
#include <map>
#include <set>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/control/peer_message.h"

namespace tamarackwing::control {

//! Failure detector: the last contact with each host and its last status. Not
//! thread-safe.
class HostMonitor {
 public:
  //! A message or status counts as recent for the duration `lost`.
  //! Precondition: `lost` is positive.
  explicit HostMonitor(std::chrono::milliseconds lost);

  //! Records the receipt of any message from a host.
  void NoteHeard(const HostName& host, TimePoint now);
  //! Records the status that a host had at `taken`; ignored if a newer one is
  //! known.
  void NoteStatus(const HostStatus& status, TimePoint taken);
  //! Whether a message from the host itself arrived within `limit`.
  bool IsHeard(const HostName& host,
               std::chrono::milliseconds limit,
               TimePoint now) const;
  //! Whether the host's last status, which other hosts may have forwarded, is
  //! recent.
  bool IsLive(const HostName& host, TimePoint now) const;
  //! Returns the last status of a host, or null if there is none.
  const HostStatus* StatusOf(const HostName& host) const;
  //! Returns the recent statuses of all hosts with their ages.
  std::vector<HostStatus> Recent(TimePoint now) const;

 private:
  struct TimedStatus {
    HostStatus status;
    TimePoint taken;
  };
  std::chrono::milliseconds lost;
  std::map<HostName, TimePoint> last_heard;
  std::map<HostName, TimedStatus> statuses;
};

}  // namespace tamarackwing::control
