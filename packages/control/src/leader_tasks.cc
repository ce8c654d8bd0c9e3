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
  const bool is_same_incarnation =
      status != nullptr && status->record.incarnation == host.incarnation;
  return is_same_incarnation ? status->synced_epoch : 0;
}

//! Whether the host still has the ledger copy that it held as a member of
//! `view`: it runs the same incarnation, or it had a disk then and has one now.
bool KeepsLedgerCopy(const RegionView& view, const HostRecord& host) {
  const ViewMember* member = FindMember(view, host.name);
  return member != nullptr && (member->incarnation == host.incarnation ||
                               (member->has_disk && host.has_disk));
}

//! Returns the last epoch in which permits may have been granted. That is the
//! epoch of `old`, unless a member is known not to have received the complete
//! ledger of that epoch: permits are granted only once all members have it.
std::uint64_t NextBaseEpoch(const RegionView& old,
                            const std::vector<HostRecord>& live,
                            const HostMonitor& monitor) {
  for (const HostRecord& host : live) {
    const HostStatus* status = monitor.StatusOf(host.name);
    if (status != nullptr && KeepsLedgerCopy(old, host) &&
        status->synced_epoch < old.epoch) {
      return old.base_epoch;
    }
  }
  return old.epoch;
}

std::vector<HostRecord> PickMembers(const RegionView& old,
                                    std::vector<HostRecord> live,
                                    std::size_t max_count) {
  // Prefer hosts with disks, then current members, so that the view seldom
  // changes.
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
  next.base_epoch = old.epoch == 0 ? 0 : NextBaseEpoch(old, live, monitor);
  for (const HostRecord& host : members) {
    next.members.push_back({host.name, host.incarnation, host.has_disk});
    const bool is_complete =
        next.base_epoch == 0 || SyncedEpoch(monitor, host) >= next.base_epoch;
    const bool is_preferred =
        next.coordinator.IsEmpty() || host.name == old.coordinator;
    if (is_complete && is_preferred) {
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
  this->grace_until = now + this->host_lost;
  this->confirming_version = 0;
}

std::vector<state::ControlChange> LeaderTasks::Due(
    const state::ControlState& state,
    const HostMonitor& monitor,
    TimePoint now) {
  std::vector<state::ControlChange> changes;
  this->AddHostChanges(state, monitor, now, changes);
  if (!changes.empty()) {
    return changes;
  }
  this->AddLiveChanges(state, monitor, now, changes);
  this->AddViewChanges(state, monitor, now, changes);
  this->AddConfirmation(state, monitor, now, changes);
  return changes;
}

void LeaderTasks::AddHostChanges(
    const state::ControlState& state,
    const HostMonitor& monitor,
    TimePoint now,
    std::vector<state::ControlChange>& changes) const {
  for (const HostStatus& status : monitor.Recent(now)) {
    const HostRecord& record = status.record;
    const auto known = state.Hosts().find(record.name);
    const bool is_newer = known == state.Hosts().end() ||
                          known->second.incarnation < record.incarnation;
    const bool starts_drain = known != state.Hosts().end() && record.draining &&
                              !known->second.draining &&
                              known->second.incarnation == record.incarnation;
    if (is_newer) {
      changes.emplace_back(state::PutHost{record});
    } else if (starts_drain) {
      changes.emplace_back(state::DrainHost{record.name, true});
    }
  }
}

void LeaderTasks::AddLiveChanges(
    const state::ControlState& state,
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
    const std::set<HostName> known_live =
        known == state.Live().end() ? std::set<HostName>() : known->second;
    const bool removes_hosts = !std::includes(
        hosts.begin(), hosts.end(), known_live.begin(), known_live.end());
    if (hosts != known_live && (!removes_hosts || now >= this->grace_until)) {
      changes.emplace_back(state::SetLiveHosts{region, hosts});
    }
  }
}

void LeaderTasks::AddViewChanges(
    const state::ControlState& state,
    const HostMonitor& monitor,
    TimePoint now,
    std::vector<state::ControlChange>& changes) const {
  std::map<RegionName, std::vector<HostRecord>> live;
  for (const auto& [name, host] : state.Hosts()) {
    if (monitor.IsLive(name, now) && !host.draining) {
      live[host.region].push_back(host);
    }
  }
  // A region without live hosts keeps its view: it may be cut off by a network
  // partition and still serve.
  for (const auto& [region, hosts] : live) {
    const auto known = state.Views().find(region);
    const RegionView old =
        known == state.Views().end() ? RegionView() : known->second;
    const RegionView next = NextView(old, hosts, monitor, this->view_members);
    const bool may_change = old.epoch == 0 || now >= this->grace_until;
    if (next != old && may_change) {
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
      this->confirming_version = 0;
      return;
    }
  }
  if (this->confirming_version != version) {
    // Wait until all tokens granted under older shares are used or expired.
    this->confirming_version = version;
    this->confirm_at = now + this->confirm_wait;
  }
  if (now >= this->confirm_at) {
    changes.emplace_back(state::ConfirmVersion{version});
  }
}

}  // namespace tamarackwing::control
