#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! The time span of signs that a server's process may have been replaced.
struct DoubtSpan {
  TimePoint first;
  TimePoint last;
};

//! Signs that a server's process may have been replaced, for the other hosts of
//! the region.
struct ServerDoubt {
  BackendServerName server;
  //! Start time of the process that the signs concern; zero if unknown. See
  //! ServerReport.
  std::chrono::milliseconds started{0};
  DoubtSpan signs;
  //! Whether another process has certainly replaced it.
  bool is_replaced = false;
};

//! Whether a server can be taken for warm, as one host knows. A report shows it
//! only until the next sign that the process may have been replaced: a refused
//! or lost connection, silence, a reopened data centre, or another host's word
//! of one. Until evidence that is newer than the last sign, the server counts
//! as cold. Not thread-safe.
class ServerWarmth {
 public:
  //! The sliding window over which requests to a cold server are counted.
  static constexpr std::chrono::seconds kSpan{1};

  //! Applies a report that the server sent at `sent`, or later.
  void NoteReport(TimePoint sent,
                  std::chrono::milliseconds cold_for,
                  TimePoint now);
  //! Records that this host started at `start`. It may have missed signs, so a
  //! report that the server sent before shows no warmth until `until`.
  void NoteStart(TimePoint start, TimePoint until, TimePoint now);
  //! Records signs, unless newer evidence is known. `life` is how long a doubt
  //! lasts after its last sign if no evidence ends it: longer than a server
  //! takes to warm up. Returns whether they are news.
  bool NoteSigns(DoubtSpan signs, Duration life, TimePoint now);
  //! As NoteSigns, for signs that the server may have become cold whatever its
  //! process: only a report ends this doubt.
  void NoteReopened(TimePoint at, Duration life, TimePoint now);
  //! Records that bytes arrived on a connection opened at `opened`. If that was
  //! before the last evidence, they show the process that it showed.
  void NoteBytes(TimePoint opened, TimePoint now);
  //! Records that this host sends the server a request.
  void NoteSent(TimePoint now);
  //! Takes back the last NoteSent.
  void ReturnSent();

  //! Returns whether the server counts as cold.
  bool IsCold(TimePoint now) const;
  //! Returns whether this host may send a request now if it may send a cold
  //! server `allowance` requests per second. While other hosts may have sent it
  //! requests that they would not send a cold one, none may be sent.
  bool MaySend(std::uint32_t allowance, TimePoint now) const;
  //! Returns how many requests this host has sent within kSpan.
  std::uint32_t SentLately(TimePoint now) const;
  //! Returns the signs that count.
  std::optional<DoubtSpan> Doubt(TimePoint now) const;
  //! Returns whether nothing is known that is worth keeping.
  bool IsForgettable(TimePoint now) const;

 private:
  //! Records since when the server counts as cold, if it did not before.
  void NoteTurn(bool was_cold, TimePoint now);

  //! Until when the last report says that the server is cold.
  TimePoint cold_until;
  //! When the process that was last reported was last known to run.
  TimePoint shown_at;
  std::optional<DoubtSpan> doubt;
  TimePoint doubt_until;
  //! Until when the last report shows no warmth; see NoteStart.
  TimePoint start_doubt_until;
  //! The last time from which on only reports are evidence.
  TimePoint reports_from;
  bool was_reported = false;
  //! When it began to count as cold after it had counted as warm.
  TimePoint cold_since;
  //! When requests were sent within kSpan.
  std::deque<TimePoint> sends;
};

}  // namespace tamarackwing::policy
