#include "region_table.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::daemon {
namespace {

//! Validity of a probe reply.
constexpr std::chrono::seconds kProbeValidity{5};
//! Validity of load and capacity for spill plans: three lost probes. A peak
//! lasts 12 s, so older information may be about another one.
constexpr std::chrono::seconds kSpillValidity{3};
//! Weight of a longer round trip in the estimate of the link: the delay of a
//! busy host's single reply must not look like a slow link.
constexpr int kRiseWeight = 8;

}  // namespace

RegionTable::RegionTable(const Clock& clock, double prefill_rate)
    : clock(clock), prefill_rate(prefill_rate), work({}) {}

RegionTable::RegionTable(const Clock& clock,
                         double prefill_rate,
                         SpillOptions spill)
    : clock(clock),
      prefill_rate(prefill_rate),
      spill(std::move(spill)),
      work(this->spill->work) {}

void RegionTable::SetPrefillRate(double next) {
  const std::lock_guard lock(this->mutex);
  this->prefill_rate = next;
}

void RegionTable::NoteOwnLoads(const std::vector<control::TargetLoad>& loads) {
  const std::lock_guard lock(this->mutex);
  this->own_loads.clear();
  for (const control::TargetLoad& load : loads) {
    this->own_loads[load.target] = load;
  }
  if (this->spill) {
    this->RenewPlans(this->clock.Now());
  }
}

void RegionTable::SetServers(const std::string& target,
                             std::uint32_t servers,
                             std::uint32_t slots) {
  const std::lock_guard lock(this->mutex);
  if (this->spill && servers > 0) {
    this->work.SetSlots(target, static_cast<double>(slots) / servers);
  }
}

policy::WorkRate RegionTable::OfferedOf(const std::string& target) {
  const std::lock_guard lock(this->mutex);
  return this->work.RateOf(target, this->clock.Now());
}

void RegionTable::NoteOffered(const std::string& target,
                              const policy::OfferedCall& call) {
  const std::lock_guard lock(this->mutex);
  if (this->spill) {
    this->work.NoteOffered(target, call, this->clock.Now());
  }
}

void RegionTable::NoteServed(const std::string& target,
                             const policy::ServedCall& call) {
  const std::lock_guard lock(this->mutex);
  if (this->spill) {
    this->work.NoteServed(target, call);
  }
}

std::shared_ptr<const gateway::SpillPlan> RegionTable::PlanFor(
    const std::string& target) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->plans.find(target);
  const bool is_recent = found != this->plans.end() &&
                         this->clock.Now() - this->planned_at < kSpillValidity;
  return is_recent ? found->second.plan : nullptr;
}

std::vector<SpillReport> RegionTable::Spills() {
  std::vector<SpillReport> reports;
  const std::lock_guard lock(this->mutex);
  for (const auto& [target, plan] : this->plans) {
    if (plan.report.regions.front().offered > 0) {
      reports.push_back(plan.report);
    }
  }
  return reports;
}

void RegionTable::RenewPlans(TimePoint now) {
  this->planned_at = now;
  this->plans.clear();
  for (const auto& [target, load] : this->own_loads) {
    this->plans[target] = this->MakePlan(load, now);
  }
}

RegionTable::Plan RegionTable::MakePlan(const control::TargetLoad& own_load,
                                        TimePoint now) const {
  Plan made;
  SpillReport& report = made.report;
  report.target = own_load.target;
  report.regions.push_back({this->spill->own, own_load.offered,
                            own_load.movable, own_load.capacity,
                            Duration::zero()});
  const auto plan = std::make_shared<gateway::SpillPlan>();
  for (const auto& [name, region] : this->regions) {
    const auto load = region.loads.find(own_load.target);
    const bool is_known =
        name != this->spill->own && now - region.at < kSpillValidity &&
        now - region.entry_at < kSpillValidity && load != region.loads.end() &&
        load->second.capacity > 0;
    if (!is_known) {
      continue;
    }
    report.regions.push_back({name, load->second.offered, load->second.movable,
                              load->second.capacity, region.link_round_trip});
    report.age = std::max(report.age, now - region.at);
    gateway::PlannedRegion planned;
    planned.host.host = region.entry_host.name;
    planned.host.region = name;
    planned.host.endpoint = {region.entry_host.peer_address,
                             region.entry_host.forward_port};
    planned.host.expected =
        region.link_round_trip + this->PrefillWait(load->second);
    planned.round_trip = region.link_round_trip;
    plan->regions.push_back(std::move(planned));
  }
  report.prefill = this->work.TypicalPrefill(own_load.target);
  report.shares =
      policy::PlanSpill(report.regions, this->spill->own, report.prefill);
  for (const policy::SpillShare& share : report.shares) {
    for (gateway::PlannedRegion& planned : plan->regions) {
      if (planned.host.region == share.region) {
        planned.per_mille = share.per_mille;
        plan->per_mille += share.per_mille;
      }
    }
  }
  made.plan = plan;
  return made;
}

Duration RegionTable::OwnWait(const std::string& target) {
  const std::lock_guard lock(this->mutex);
  const auto load = this->own_loads.find(target);
  return load == this->own_loads.end() ? Duration::zero()
                                       : this->PrefillWait(load->second);
}

Duration RegionTable::PrefillWait(const control::TargetLoad& load) const {
  const double prefill_seconds =
      load.servers == 0 ? 0
                        : static_cast<double>(load.pending_prefill) /
                              load.servers / this->prefill_rate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(prefill_seconds));
}

void RegionTable::NoteProbe(const state::HostRecord& host,
                            const control::ProbeReply& reply,
                            Duration round_trip) {
  const std::lock_guard lock(this->mutex);
  if (reply.links_down) {
    const auto known = this->regions.find(reply.region);
    if (known != this->regions.end() &&
        known->second.entry_host.name == host.name) {
      known->second.entry_at = TimePoint();
    }
    if (known != this->regions.end() && known->second.host.name == host.name) {
      this->regions.erase(known);
    }
    return;
  }
  Region& region = this->regions[reply.region];
  const TimePoint now = this->clock.Now();
  region.host = host;
  region.round_trip = round_trip;
  const bool is_first =
      region.at == TimePoint() || now - region.at >= kProbeValidity;
  region.link_round_trip =
      is_first || round_trip < region.link_round_trip
          ? round_trip
          : region.link_round_trip +
                (round_trip - region.link_round_trip) / kRiseWeight;
  region.at = now;
  if (host.IsEntryHost()) {
    region.entry_host = host;
    region.entry_at = now;
  }
  region.loads.clear();
  for (const control::TargetLoad& load : reply.loads) {
    region.loads[load.target] = load;
  }
}

void RegionTable::SetNeighbours(std::vector<gateway::ForwardTarget> hosts) {
  const std::lock_guard lock(this->mutex);
  this->neighbours = std::move(hosts);
}

std::vector<gateway::ForwardTarget> RegionTable::Neighbours() {
  const std::lock_guard lock(this->mutex);
  return this->neighbours;
}

std::vector<gateway::ForwardTarget> RegionTable::Candidates(
    const std::string& target) {
  std::vector<gateway::ForwardTarget> candidates;
  const std::lock_guard lock(this->mutex);
  for (const auto& [name, region] : this->regions) {
    const auto load = region.loads.find(target);
    const bool is_recent = this->clock.Now() - region.at < kProbeValidity;
    if (!is_recent || load == region.loads.end() || load->second.slots == 0) {
      continue;
    }
    gateway::ForwardTarget candidate;
    candidate.host = region.host.name;
    candidate.region = name;
    candidate.endpoint = {region.host.peer_address, region.host.forward_port};
    candidate.expected = region.round_trip + this->PrefillWait(load->second);
    candidates.push_back(std::move(candidate));
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const gateway::ForwardTarget& a, const gateway::ForwardTarget& b) {
        return a.expected < b.expected;
      });
  return candidates;
}

}  // namespace tamarackwing::daemon
