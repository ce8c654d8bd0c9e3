#include "tamarackwing/control/roster_follower.h"

#include <algorithm>
#include <utility>

#include "region_ranking.h"
#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::control {
namespace {

//! Number of intervals without a reply after which another source is asked.
constexpr int kMaxSilentIntervals = 3;
//! How long a host that is not the best source is asked before the best is
//! tried again.
constexpr std::chrono::seconds kRetryBest{5};
//! Maximum number of requests that still wait for a reply.
constexpr std::size_t kMaxUnanswered = 32;

}  // namespace

RosterFollower::RosterFollower(RegionName region,
                               std::chrono::milliseconds interval,
                               std::uint64_t last_number)
    : region(std::move(region)), interval(interval), number(last_number) {}

std::optional<RosterFollower::Request> RosterFollower::Due(
    const std::vector<HostName>& sources,
    TimePoint now) {
  if (!this->IsDue(now) || sources.empty()) {
    return std::nullopt;
  }
  this->due_at = now + this->interval;
  const bool is_silent =
      now - this->last_reply > kMaxSilentIntervals * this->interval;
  // The sources' order changes while hosts are counted as lost. Hosts of other
  // regions may have no reports, so a new first one is asked at once.
  const auto current = std::find(sources.begin(), sources.end(), this->source);
  const bool tries_best =
      current == sources.end() || sources.front() != this->best ||
      (current != sources.begin() && now - this->source_since >= kRetryBest);
  auto next = tries_best ? sources.begin() : current;
  if (!tries_best && is_silent && ++next == sources.end()) {
    next = sources.begin();
  }
  this->best = sources.front();
  const HostName& chosen = *next;
  if (chosen != this->source) {
    this->source = chosen;
    this->source_since = now;
    this->last_reply = now;
  }
  this->asked[++this->number] = now;
  if (this->asked.size() > kMaxUnanswered) {
    this->asked.erase(this->asked.begin());
  }
  const RosterCursor cursor =
      chosen == this->known_from ? this->known : RosterCursor();
  return Request{chosen, {this->number, this->region, cursor}};
}

std::vector<policy::ServerReport> RosterFollower::HandleReply(
    const HostName& from,
    const RosterReply& reply,
    TimePoint now) {
  std::vector<policy::ServerReport> due;
  const bool is_same_epoch =
      from == this->known_from && reply.reached.epoch == this->known.epoch;
  const bool is_old =
      is_same_epoch && reply.reached.version < this->known.version;
  // Replies may overtake each other, also while the source changes.
  const std::uint64_t base = is_same_epoch ? this->known.version : 0;
  const bool has_gap = reply.since > base;
  const auto request = this->asked.find(reply.number);
  if (from != this->source || is_old || has_gap ||
      request == this->asked.end()) {
    return due;
  }
  // The reply may have waited in a socket while this host was suspended.
  const auto on_the_way =
      std::chrono::ceil<std::chrono::milliseconds>(now - request->second);
  this->asked.erase(request);
  this->last_reply = now;
  if (!is_same_epoch) {
    this->reports.clear();
  }
  bool lacks_report = false;
  for (const RosterRenewal& renewal : reply.renewals) {
    const auto report = this->reports.find(renewal.id);
    if (report == this->reports.end()) {
      // It was left out before, because its lease had ended.
      lacks_report = true;
      continue;
    }
    due.push_back(report->second);
    due.back().relayed_for = renewal.age + on_the_way;
  }
  for (const RosterEntry& entry : reply.entries) {
    due.push_back(entry.report);
    due.back().relayed_for += on_the_way;
    this->reports[entry.id] = entry.report;
  }
  // An empty cursor asks for all reports.
  this->known = lacks_report ? RosterCursor() : reply.reached;
  this->known_from = from;
  return due;
}

std::vector<HostName> RosterSources(
    const state::HostRecord& self,
    const std::map<HostName, state::HostRecord>& hosts,
    const std::vector<state::HostRecord>& seeds,
    const std::set<HostName>& lost) {
  std::vector<const state::HostRecord*> candidates;
  const auto add = [&](const state::HostRecord& host) {
    if (host.has_disk && host.name != self.name) {
      candidates.push_back(&host);
    }
  };
  for (const auto& [name, host] : hosts) {
    add(host);
  }
  if (candidates.empty()) {
    std::for_each(seeds.begin(), seeds.end(), add);
  }
  std::vector<HostName> sources = RankByRegion(
      policy::RendezvousKey(self.name.Text()), self.region, candidates);
  std::stable_partition(
      sources.begin(), sources.end(),
      [&](const HostName& host) { return !lost.contains(host); });
  return sources;
}

}  // namespace tamarackwing::control
