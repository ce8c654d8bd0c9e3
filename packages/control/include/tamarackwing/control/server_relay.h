#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/control_options.h"
#include "tamarackwing/policy/server_report.h"

namespace tamarackwing::control {

//! Collects reports of backend servers on their way to the entry hosts. News
//! of a server that leaves is told again for a while, so that a lost message
//! sends it no work; other reports are renewed by the servers themselves.
//! Pure; not thread-safe.
class ServerRelay {
 public:
  explicit ServerRelay(const ControlOptions& options);

  //! Takes a report; true where it should not wait for the next round.
  bool Take(const policy::ServerReport& report, TimePoint now);
  //! The reports that are due, by the region they are for; an empty region
  //! stands for all.
  std::map<RegionName, std::vector<policy::ServerReport>> Due(TimePoint now);

 private:
  struct Leaving {
    policy::ServerReport report;
    TimePoint until;
    TimePoint again_at;
  };

  std::chrono::milliseconds told;
  std::chrono::milliseconds again;
  std::map<BackendServerName, policy::ServerReport> waiting;
  std::map<BackendServerName, Leaving> leaving;
};

}  // namespace tamarackwing::control
