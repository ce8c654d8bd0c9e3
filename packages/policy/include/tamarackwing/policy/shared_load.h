#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/server_load.h"

namespace tamarackwing::policy {

//! What a host knows of the load that the other hosts of its region put on the
//! backend servers, and of how fast each server is, from the summaries of the
//! region's load collector. Handles servers of one service that differ in
//! speed, or slow down long before they are full: equal numbers of requests
//! make their streams pause. Not thread-safe.
class SharedLoad {
 public:
  //! The load that other hosts put on a server.
  struct Others {
    std::uint32_t running = 0;
    TokenCount pending_prefill = 0;
  };

  //! Records that a stream of a server was silent before each of `events`
  //! events, for `sum` altogether. Precondition: `events` is positive.
  void NotePauses(std::uint32_t server, std::uint32_t events, Duration sum);
  //! Makes the next report. `own` is this host's present load by server,
  //! without pauses.
  LoadReport MakeReport(std::vector<ServerUse> own, TimePoint now);
  //! Applies a summary, unless it is older than the applied one or replies to
  //! no known report. Each group has the servers of one target, whose speeds
  //! are compared.
  void Accept(const LoadSummary& summary,
              const std::vector<std::vector<std::uint32_t>>& groups);
  //! Returns whether a summary is recent enough to be used.
  bool IsFresh(TimePoint now) const;
  //! Returns what other hosts had on a server when the last summary was made.
  Others OthersOn(std::uint32_t server) const;
  //! Returns a server's mean pause relative to the median of its target's
  //! servers: 2 for one that is half as fast, 1 without enough pauses.
  double SlownessOf(std::uint32_t server) const;

 private:
  struct Sent {
    TimePoint at;
    std::unordered_map<std::uint32_t, Others> own;
  };
  struct Pauses {
    std::uint32_t events = 0;
    Duration sum{};
  };

  void Compare(const std::vector<std::uint32_t>& group,
               const std::unordered_map<std::uint32_t, ServerUse>& uses);

  //! Number of the last report.
  std::uint64_t number = 0;
  //! When it was made.
  TimePoint reported;
  //! Reports without a reply, by number.
  std::map<std::uint64_t, Sent> sent;
  std::unordered_map<std::uint32_t, Pauses> pauses;
  //! When the report was made that the applied summary replies to.
  TimePoint summarized;
  bool has_summary = false;
  std::unordered_map<std::uint32_t, Others> others;
  std::unordered_map<std::uint32_t, double> slowness;
};

}  // namespace tamarackwing::policy
