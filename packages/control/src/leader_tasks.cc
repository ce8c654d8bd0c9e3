#include "tamarackwing/control/leader_tasks.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::control {
namespace {

using state::HostRecord;
using state::RegionView;
using state::ViewMember;

const ViewMember* FindMember(const RegionView& view, const HostName& host) {
  const auto found =
      std::find_if(view.members.begin(), view.members.end(),
                   [&](const ViewMember& m) { return m.host == host; });
  return found == view.members.end() ? nullptr : &*found;
}

std::uint64_t SyncedEpoch(const HostMonitor& monitor, const HostRecord& host) {
  const HostStatus* status = monitor.StatusOf(host.name);
  const bool is_same =
      status != nullptr && status->record.incarnation == host.incarnation;
  return is_same ? status->synced_epoch : 0;
}

//! Whether the process, or the disk, of that member is the one of the view.
bool IsSameHolder(const RegionView& view, const HostRecord& host) {
  const ViewMember* member = FindMember(view, host.name);
  return member != nullptr && (member->incarnation == host.incarnation ||
                               (member->has_disk && host.has_disk));
}

//! The last epoch that may have given permits: the view's own, unless one of
//! its members is known not to have been in step.
std::uint64_t BaseAfter(const RegionView& old,
                        const std::vector<HostRecord>& live,
                        const HostMonitor& monitor) {
  for (const HostRecord& host : live) {
    const HostStatus* status = monitor.StatusOf(host.name);
    if (status != nullptr && IsSameHolder(old, host) &&
        status->synced_epoch < old.epoch) {
      return old.base_epoch;
    }
  }
  return old.epoch;
}

std::vector<HostRecord> PickMembers(const RegionView& old,
                                    std::vector<HostRecord> live,
                                    std::size_t max_count) {
  // Disks first, then who is in the view already, so that it seldom changes.
  std::stable_sort(live.begin(), live.end(),
                   [&](const HostRecord& a, const HostRecord& b) {
                     if (a.has_disk != b.has_disk) {
                       return a.has_disk;
                     }
                     return FindMember(old, a.name) != nullptr &&
                            FindMember(old, b.name) == nullptr;
                   });
  if (live.size() > max_count) {
    live.resize(max_count);
  }
  return live;
}

bool HasSameMembers(const RegionView& old,
                    const std::vector<HostRecord>& members) {
  if (old.members.size() != members.size()) {
    return false;
  }
  return std::all_of(
      members.begin(), members.end(), [&](const HostRecord& host) {
        const ViewMember* member = FindMember(old, host.name);
        return member != nullptr && member->incarnation == host.incarnation;
      });
}

}  // namespace

RegionView NextView(const RegionView& old,
                    const std::vector<HostRecord>& live,
                    const HostMonitor& monitor,
                    std::size_t max_members) {
  const std::vector<HostRecord> members = PickMembers(old, live, max_members);
  if (members.empty() || HasSameMembers(old, members)) {
    return old;
  }
  RegionView next;
  next.region = members.front().region;
  next.epoch = old.epoch + 1;
  next.base_epoch = old.epoch == 0 ? 0 : BaseAfter(old, live, monitor);
  for (const HostRecord& host : members) {
    next.members.push_back({host.name, host.incarnation, host.has_disk});
    const bool holds_all =
        next.base_epoch == 0 || SyncedEpoch(monitor, host) >= next.base_epoch;
    const bool is_better =
        next.coordinator.IsEmpty() || host.name == old.coordinator;
    if (holds_all && is_better) {
      next.coordinator = host.name;
    }
  }
  return next.coordinator.IsEmpty() ? old : next;
}

LeaderTasks::LeaderTasks(const ControlOptions& options)
    : host_lost(options.host_lost),
      confirm_wait(2 * (options.chunk_life + options.drift)),
      view_members(options.view_members) {}

void LeaderTasks::StartTerm(TimePoint now) {
  this->settled_from = now + this->host_lost;
  this->confirming = 0;
}

std::vector<state::ControlChange> LeaderTasks::Due(
    const state::ControlState& state,
    const HostMonitor& monitor,
    TimePoint now) {
  std::vector<state::ControlChange> changes;
  this->AddHosts(state, monitor, now, changes);
  if (!changes.empty()) {
    return changes;
  }
  this->AddLive(state, monitor, now, changes);
  this->AddViews(state, monitor, now, changes);
  this->AddConfirmation(state, monitor, now, changes);
  return changes;
}

void LeaderTasks::AddHosts(const state::ControlState& state,
                           const HostMonitor& monitor,
                           TimePoint now,
                           std::vector<state::ControlChange>& changes) const {
  for (const HostStatus& status : monitor.Recent(now)) {
    const HostRecord& record = status.record;
    const auto known = state.Hosts().find(record.name);
    const bool is_newer = known == state.Hosts().end() ||
                          known->second.incarnation < record.incarnation;
    const bool drains = known != state.Hosts().end() && record.draining &&
                        !known->second.draining &&
                        known->second.incarnation == record.incarnation;
    if (is_newer) {
      changes.emplace_back(state::PutHost{record});
    } else if (drains) {
      changes.emplace_back(state::DrainHost{record.name, true});
    }
  }
}

void LeaderTasks::AddLive(const state::ControlState& state,
                          const HostMonitor& monitor,
                          TimePoint now,
                          std::vector<state::ControlChange>& changes) const {
  std::map<RegionName, std::set<HostName>> live;
  for (const auto& [name, host] : state.Hosts()) {
    std::set<HostName>& hosts = live[host.region];
    if (monitor.IsLive(name, now)) {
      hosts.insert(name);
    }
  }
  for (const auto& [region, hosts] : live) {
    const auto known = state.Live().find(region);
    const std::set<HostName> before =
        known == state.Live().end() ? std::set<HostName>() : known->second;
    const bool loses = !std::includes(hosts.begin(), hosts.end(),
                                      before.begin(), before.end());
    if (hosts != before && (!loses || now >= this->settled_from)) {
      changes.emplace_back(state::SetLiveHosts{region, hosts});
    }
  }
}

void LeaderTasks::AddViews(const state::ControlState& state,
                           const HostMonitor& monitor,
                           TimePoint now,
                           std::vector<state::ControlChange>& changes) const {
  std::map<RegionName, std::vector<HostRecord>> live;
  for (const auto& [name, host] : state.Hosts()) {
    if (monitor.IsLive(name, now) && !host.draining) {
      live[host.region].push_back(host);
    }
  }
  // A region of which nothing is heard keeps its view: it may be cut off and
  // serving.
  for (const auto& [region, hosts] : live) {
    const auto known = state.Views().find(region);
    const RegionView old =
        known == state.Views().end() ? RegionView() : known->second;
    const RegionView next = NextView(old, hosts, monitor, this->view_members);
    const bool is_settled = old.epoch == 0 || now >= this->settled_from;
    if (next != old && is_settled) {
      changes.emplace_back(state::PutRegionView{next});
    }
  }
}

void LeaderTasks::AddConfirmation(const state::ControlState& state,
                                  const HostMonitor& monitor,
                                  TimePoint now,
                                  std::vector<state::ControlChange>& changes) {
  const SetVersion version = state.Version();
  if (state.Confirmed() >= version) {
    return;
  }
  for (const auto& [name, host] : state.Hosts()) {
    const HostStatus* status = monitor.StatusOf(name);
    if (status == nullptr || status->version < version) {
      this->confirming = 0;
      return;
    }
  }
  if (this->confirming != version) {
    // What was given out under older shares must have been used or expired.
    this->confirming = version;
    this->confirm_at = now + this->confirm_wait;
  }
  if (now >= this->confirm_at) {
    changes.emplace_back(state::ConfirmVersion{version});
  }
}

}  // namespace tamarackwing::control
