#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/control_options.h"
#include "tamarackwing/policy/server_report.h"

namespace tamarackwing::control {

//! Collects reports of backend servers for the entry hosts. The report that a
//! server shuts down is repeated for a while, so that entry hosts stop sending
//! requests to that server even if a message is lost; all other reports are
//! renewed by the servers themselves. A state machine without I/O. Not
//! thread-safe.
class ServerRelay {
 public:
  explicit ServerRelay(const ControlOptions& options);

  //! Adds a report. Returns whether it should be sent at once instead of with
  //! the next batch: true for the first report that a server shuts down.
  bool AddReport(const policy::ServerReport& report, TimePoint now);
  //! Returns the reports that are due, by the region whose entry hosts receive
  //! them; an empty region name means all regions.
  std::map<RegionName, std::vector<policy::ServerReport>> Due(TimePoint now);

 private:
  struct Leaving {
    policy::ServerReport report;
    TimePoint until;
    TimePoint resend_at;
  };

  std::chrono::milliseconds resend_for;
  std::chrono::milliseconds resend_every;
  std::map<BackendServerName, policy::ServerReport> waiting;
  std::map<BackendServerName, Leaving> leaving;
};

}  // namespace tamarackwing::control
