#include "tamarackwing/policy/shared_load.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "tamarackwing/policy/load_board.h"

namespace tamarackwing::policy {
namespace {

//! Reports without a reply that are remembered: as many as a host makes in the
//! life of a summary, and a few more.
constexpr std::size_t kMaxSent = 16;
//! Pauses at the median with which a server's mean is diluted: few pauses say
//! little, and a server that is avoided returns to the median as its pauses
//! decay, so that it is tried again.
constexpr double kPriorPauses = 20;
//! A server further from the median than this is unhealthy rather than slow.
constexpr double kMaxSlowness = 4;

}  // namespace

void SharedLoad::NotePauses(std::uint32_t server,
                            std::uint32_t events,
                            Duration sum) {
  Pauses& known = this->pauses[server];
  known.events += events;
  known.sum += sum;
}

LoadReport SharedLoad::MakeReport(std::vector<ServerUse> own, TimePoint now) {
  LoadReport report;
  report.number = ++this->number;
  if (now - this->reported > kLoadReportLife) {
    // Pauses of a time without a collector say nothing about now.
    this->pauses.clear();
  }
  this->reported = now;
  report.uses = std::move(own);
  Sent& made = this->sent[report.number];
  made.at = now;
  for (ServerUse& use : report.uses) {
    made.own[use.server] = {use.running, use.pending_prefill};
    const auto known = this->pauses.find(use.server);
    if (known != this->pauses.end()) {
      use.pauses = known->second.events;
      use.pause_sum = std::chrono::duration_cast<std::chrono::milliseconds>(
          known->second.sum);
      this->pauses.erase(known);
    }
  }
  for (const auto& [server, seen] : this->pauses) {
    report.uses.push_back(
        {server, 0, 0, seen.events,
         std::chrono::duration_cast<std::chrono::milliseconds>(seen.sum)});
  }
  this->pauses.clear();
  if (this->sent.size() > kMaxSent) {
    this->sent.erase(this->sent.begin());
  }
  return report;
}

void SharedLoad::Accept(const LoadSummary& summary,
                        const std::vector<std::vector<std::uint32_t>>& groups) {
  const auto report = this->sent.find(summary.number);
  if (report == this->sent.end()) {
    return;
  }
  const Sent own = std::move(report->second);
  this->sent.erase(this->sent.begin(), std::next(report));
  this->summarized = own.at;
  this->has_summary = true;
  this->others.clear();
  std::unordered_map<std::uint32_t, ServerUse> uses;
  for (const ServerUse& use : summary.uses) {
    uses[use.server] = use;
    Others rest{use.running, use.pending_prefill};
    const auto mine = own.own.find(use.server);
    if (mine != own.own.end()) {
      rest.running -= std::min(rest.running, mine->second.running);
      rest.pending_prefill = std::max<TokenCount>(
          0, rest.pending_prefill - mine->second.pending_prefill);
    }
    this->others[use.server] = rest;
  }
  this->slowness.clear();
  for (const std::vector<std::uint32_t>& group : groups) {
    this->Compare(group, uses);
  }
}

void SharedLoad::Compare(
    const std::vector<std::uint32_t>& group,
    const std::unordered_map<std::uint32_t, ServerUse>& uses) {
  std::vector<double> means;
  for (const std::uint32_t server : group) {
    const auto use = uses.find(server);
    if (use != uses.end() && use->second.pauses >= kPriorPauses) {
      means.push_back(static_cast<double>(use->second.pause_sum.count()) /
                      use->second.pauses);
    }
  }
  if (means.empty()) {
    return;
  }
  const auto middle =
      means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  const double median = *middle;
  if (median <= 0) {
    return;
  }
  for (const std::uint32_t server : group) {
    const auto use = uses.find(server);
    if (use == uses.end()) {
      continue;
    }
    const double diluted = (static_cast<double>(use->second.pause_sum.count()) +
                            kPriorPauses * median) /
                           (use->second.pauses + kPriorPauses);
    this->slowness[server] =
        std::clamp(diluted / median, 1 / kMaxSlowness, kMaxSlowness);
  }
}

bool SharedLoad::IsFresh(TimePoint now) const {
  return this->has_summary && now - this->summarized < kLoadReportLife;
}

SharedLoad::Others SharedLoad::OthersOn(std::uint32_t server) const {
  const auto known = this->others.find(server);
  return known == this->others.end() ? Others() : known->second;
}

double SharedLoad::SlownessOf(std::uint32_t server) const {
  const auto known = this->slowness.find(server);
  return known == this->slowness.end() ? 1 : known->second;
}

}  // namespace tamarackwing::policy
