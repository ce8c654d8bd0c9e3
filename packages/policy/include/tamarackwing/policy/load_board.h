#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <unordered_map>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/server_load.h"

namespace tamarackwing::policy {

//! How long a host's last report counts. Hosts report several times in this
//! time, so one that is silent for so long has stopped or cannot be reached.
inline constexpr std::chrono::milliseconds kLoadReportLife{1'500};

//! Adds up the load that the hosts of a region put on its backend servers; kept
//! by the region's load collector. Handles many hosts that place requests onto
//! the same servers: each knows only its own requests, so that without the sum
//! some servers get twice the mean load while others are idle. A report costs
//! time in proportion to the servers that it names, a summary in proportion to
//! all servers, however many hosts there are. Not thread-safe.
class LoadBoard {
 public:
  //! Replaces the host's last report, unless this one is older.
  void Accept(const HostName& from, const LoadReport& report, TimePoint now);
  //! Returns the sums over all hosts with a recent report, as the reply to the
  //! report of that number.
  LoadSummary Summarize(std::uint64_t number, TimePoint now);

 private:
  struct Reported {
    LoadReport report;
    TimePoint at;
  };
  struct Total {
    std::int64_t running = 0;
    TokenCount pending_prefill = 0;
    //! Pauses and their sum in milliseconds, as decayed until `decayed`.
    double pauses = 0;
    double pause_ms = 0;
    TimePoint decayed;
  };

  static void Decay(Total& total, TimePoint now);
  //! Removes what a report added to the totals, except its pauses.
  void Subtract(const LoadReport& report);
  void Expire(TimePoint now);

  std::map<HostName, Reported> reports;
  std::unordered_map<std::uint32_t, Total> totals;
};

}  // namespace tamarackwing::policy
