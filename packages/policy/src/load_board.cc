#include "tamarackwing/policy/load_board.h"

#include <algorithm>
#include <cmath>

namespace tamarackwing::policy {
namespace {

//! Time constant of the decay of pauses: long enough for a few hundred pauses
//! of a busy server, short enough to follow one that slows down.
constexpr std::chrono::seconds kPauseDecay{2};
//! A server without load whose pauses have decayed below this is forgotten.
constexpr double kMinPauses = 0.5;

}  // namespace

void LoadBoard::Decay(Total& total, TimePoint now) {
  const double factor =
      std::exp(-std::chrono::duration<double>(now - total.decayed) /
               std::chrono::duration<double>(kPauseDecay));
  total.pauses *= factor;
  total.pause_ms *= factor;
  total.decayed = now;
}

void LoadBoard::Subtract(const LoadReport& report) {
  for (const ServerUse& use : report.uses) {
    Total& total = this->totals[use.server];
    total.running -= use.running;
    total.pending_prefill -= use.pending_prefill;
  }
}

void LoadBoard::Accept(const HostName& from,
                       const LoadReport& report,
                       TimePoint now) {
  Reported& last = this->reports[from];
  if (report.number <= last.report.number) {
    // A repeated or overtaken report.
    return;
  }
  this->Subtract(last.report);
  last = {report, now};
  for (const ServerUse& use : report.uses) {
    Total& total = this->totals[use.server];
    total.running += use.running;
    total.pending_prefill += use.pending_prefill;
    Decay(total, now);
    total.pauses += use.pauses;
    total.pause_ms += static_cast<double>(use.pause_sum.count());
  }
}

void LoadBoard::Expire(TimePoint now) {
  std::erase_if(this->reports, [&](const auto& entry) {
    const Reported& reported = entry.second;
    if (now - reported.at < kLoadReportLife) {
      return false;
    }
    this->Subtract(reported.report);
    return true;
  });
}

LoadSummary LoadBoard::Summarize(std::uint64_t number, TimePoint now) {
  this->Expire(now);
  LoadSummary summary;
  summary.number = number;
  summary.hosts = static_cast<std::uint32_t>(this->reports.size());
  summary.uses.reserve(this->totals.size());
  for (auto entry = this->totals.begin(); entry != this->totals.end();) {
    Total& total = entry->second;
    Decay(total, now);
    const bool has_load = total.running > 0 || total.pending_prefill > 0;
    if (!has_load && total.pauses < kMinPauses) {
      entry = this->totals.erase(entry);
      continue;
    }
    summary.uses.push_back(
        {entry->first,
         static_cast<std::uint32_t>(std::max<std::int64_t>(0, total.running)),
         std::max<TokenCount>(0, total.pending_prefill),
         static_cast<std::uint32_t>(std::lround(total.pauses)),
         std::chrono::milliseconds(std::llround(total.pause_ms))});
    ++entry;
  }
  return summary;
}

}  // namespace tamarackwing::policy
