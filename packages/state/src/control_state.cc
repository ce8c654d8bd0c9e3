#include "tamarackwing/state/control_state.h"

#include <algorithm>
#include <atomic>
#include <utility>

#include "internal/json_codec.h"
#include "tamarackwing/state/packed.h"
#include "tamarackwing/state/set_checker.h"

namespace tamarackwing::config {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Fault, code, path, line, found)

}  // namespace tamarackwing::config

namespace tamarackwing::state {
namespace {

using nlohmann::json;

//! Number of publish outcomes kept to reply to resends.
constexpr std::size_t kMaxOutcomes = 4096;

RegionShare Min(const RegionShare& a, const RegionShare& b) {
  return {std::min(a.rate, b.rate), std::min(a.burst, b.burst)};
}

}  // namespace

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ApplyOutcome, kind, version, faults)

RegionShare ShareIn(const Workspace& workspace, const RegionName& region) {
  const auto& homes = workspace.home_regions;
  const auto home = std::find(homes.begin(), homes.end(), region);
  if (home == homes.end()) {
    return {};
  }
  const auto count = static_cast<TokenCount>(homes.size());
  return {workspace.rate / count, workspace.burst / count};
}

ControlState::ControlState()
    : document(std::make_shared<const std::string>()),
      set(std::make_shared<const ConfigurationSet>()),
      paths(std::make_shared<const PathIndex>()),
      withdrawn(std::make_shared<const std::set<KeyDigest>>()),
      hosts(std::make_shared<std::map<HostName, HostRecord>>()) {}

ApplyOutcome ControlState::Apply(LogIndex index, std::string_view payload) {
  this->applied = index;
  const auto change = DecodeChange(payload);
  if (!change) {
    return {};
  }
  return std::visit(
      [&](const auto& value) { return this->ApplyChange(index, value); },
      *change);
}

ApplyOutcome ControlState::Check(const PublishSet& publish) const {
  const auto earlier = this->OutcomeOf(publish.id);
  if (earlier) {
    return *earlier;
  }
  ApplyOutcome outcome;
  outcome.version = this->version;
  if (publish.base != this->version) {
    outcome.kind = ApplyKind::kConflict;
    return outcome;
  }
  ConfigurationSet next = *this->set;
  ApplyDelta(publish.delta, next);
  return this->CheckNext(publish.delta, next);
}

ApplyOutcome ControlState::CheckNext(const SetDelta& delta,
                                     const ConfigurationSet& next) const {
  ApplyOutcome outcome;
  outcome.version = this->version;
  const Topology topology = this->CurrentTopology();
  outcome.faults = this->topology_changed
                       ? CheckSet(next, topology, *this->withdrawn)
                       : CheckDelta(next, delta, topology, *this->withdrawn);
  outcome.kind =
      outcome.faults.empty() ? ApplyKind::kApplied : ApplyKind::kRejected;
  return outcome;
}

std::optional<ApplyOutcome> ControlState::KnownOutcome(
    const ControlChange& change) const {
  if (const auto* set = std::get_if<ReplaceSet>(&change)) {
    if (set->number <= this->set_number) {
      return ApplyOutcome{ApplyKind::kOvertaken, this->version, {}};
    }
  } else if (const auto* publish = std::get_if<PublishSet>(&change)) {
    return this->OutcomeOf(publish->id);
  } else if (const auto* grant = std::get_if<GrantKey>(&change)) {
    return this->OutcomeOf(grant->id);
  } else if (const auto* withdraw = std::get_if<WithdrawKeys>(&change)) {
    const bool all_withdrawn = std::all_of(
        withdraw->digests.begin(), withdraw->digests.end(),
        [&](const KeyDigest& key) { return this->withdrawn->contains(key); });
    if (all_withdrawn) {
      return this->Applied(this->version);
    }
  }
  return std::nullopt;
}

std::optional<ApplyOutcome> ControlState::OutcomeOf(const PublishId& id) const {
  const auto found = this->outcomes.find(id);
  if (found == this->outcomes.end()) {
    return std::nullopt;
  }
  return found->second;
}

RegionShare ControlState::ShareOf(const WorkspaceName& workspace,
                                  const RegionName& region) const {
  const auto current = this->set->workspaces.find(workspace);
  if (current == this->set->workspaces.end()) {
    return {};
  }
  RegionShare share = ShareIn(current->second, region);
  const auto old = this->old_workspaces.find(workspace);
  if (old == this->old_workspaces.end()) {
    return share;
  }
  for (const OldWorkspace& entry : old->second) {
    share = Min(share, ShareIn(entry.workspace, region));
  }
  return share;
}

std::map<WorkspaceName, RegionShare> ControlState::ChangingShares(
    const RegionName& region) const {
  std::map<WorkspaceName, RegionShare> shares;
  for (const auto& [name, old] : this->old_workspaces) {
    shares[name] = this->ShareOf(name, region);
  }
  return shares;
}

std::optional<std::size_t> ControlState::SliceOf(const HostName& host) const {
  const auto found = this->slices.find(host);
  if (found == this->slices.end()) {
    return std::nullopt;
  }
  return found->second;
}

ApplyOutcome ControlState::ApplyChange(LogIndex index,
                                       const PublishSet& change) {
  const auto earlier = this->OutcomeOf(change.id);
  if (earlier) {
    return *earlier;
  }
  ApplyOutcome outcome{ApplyKind::kConflict, this->version, {}};
  if (change.base == this->version) {
    auto next = std::make_shared<ConfigurationSet>(*this->set);
    ApplyDelta(change.delta, *next);
    outcome = this->CheckNext(change.delta, *next);
    if (outcome.kind == ApplyKind::kApplied) {
      this->KeepOldWorkspaces(index, change.delta);
      this->PutSet(std::move(next));
      this->version = index;
      this->topology_changed = false;
      outcome.version = index;
    }
  }
  this->RecordOutcome(change.id, outcome);
  return outcome;
}

ApplyOutcome ControlState::ApplyChange(LogIndex index, const GrantKey& change) {
  PublishSet publish;
  publish.id = change.id;
  publish.base = this->version;
  publish.delta.keys.push_back(change.key);
  return this->ApplyChange(index, publish);
}

ApplyOutcome ControlState::ApplyChange(LogIndex, const WithdrawKeys& change) {
  auto all_withdrawn = std::make_shared<std::set<KeyDigest>>(*this->withdrawn);
  all_withdrawn->insert(change.digests.begin(), change.digests.end());
  this->withdrawn = std::move(all_withdrawn);
  auto remaining = std::make_shared<ConfigurationSet>(*this->set);
  for (const KeyDigest& digest : change.digests) {
    remaining->keys.erase(digest);
  }
  this->PutSet(std::move(remaining));
  return this->Applied(this->version);
}

std::map<HostName, HostRecord>& ControlState::MutableHosts() {
  // Snapshots share the table, and must not see the change.
  if (this->hosts.use_count() > 1) {
    this->hosts =
        std::make_shared<std::map<HostName, HostRecord>>(*this->hosts);
  } else {
    // Pairs with the release of the last snapshot by another thread.
    std::atomic_thread_fence(std::memory_order_acquire);
  }
  return *this->hosts;
}

ApplyOutcome ControlState::ApplyChange(LogIndex, const PutHost& change) {
  const HostRecord& host = change.host;
  const auto known = this->hosts->find(host.name);
  if (known != this->hosts->end() &&
      known->second.incarnation > host.incarnation) {
    return {};
  }
  if (known == this->hosts->end()) {
    std::set<std::size_t> used;
    for (const auto& [name, slice] : this->slices) {
      if (this->hosts->at(name).region == host.region) {
        used.insert(slice);
      }
    }
    std::size_t free = 0;
    while (used.contains(free)) {
      free += 1;
    }
    this->slices[host.name] = free;
  }
  if (host.reads_format < kRevisionFormat) {
    // A state that this host encodes lacks them.
    this->revisions.clear();
  }
  this->MutableHosts()[host.name] = host;
  this->topology_changed = true;
  return this->Applied(this->version);
}

ApplyOutcome ControlState::ApplyChange(LogIndex, const RemoveHost& change) {
  this->MutableHosts().erase(change.host);
  this->slices.erase(change.host);
  this->topology_changed = true;
  return this->Applied(this->version);
}

ApplyOutcome ControlState::ApplyChange(LogIndex, const DrainHost& change) {
  if (!this->hosts->contains(change.host)) {
    return {};
  }
  this->MutableHosts().at(change.host).draining = change.draining;
  return this->Applied(this->version);
}

ApplyOutcome ControlState::ApplyChange(LogIndex, const PutRegionView& change) {
  RegionView& view = this->views[change.view.region];
  if (change.view.epoch != view.epoch + 1) {
    return {};
  }
  view = change.view;
  return this->Applied(this->version);
}

ApplyOutcome ControlState::ApplyChange(LogIndex, const ConfirmVersion& change) {
  this->confirmed = std::max(this->confirmed, change.version);
  for (auto& [name, old] : this->old_workspaces) {
    std::erase_if(old, [&](const OldWorkspace& entry) {
      return entry.until <= this->confirmed;
    });
  }
  std::erase_if(this->old_workspaces,
                [](const auto& entry) { return entry.second.empty(); });
  return this->Applied(this->version);
}

ApplyOutcome ControlState::ApplyChange(LogIndex, const SetLiveHosts& change) {
  this->live[change.region] = change.hosts;
  return this->Applied(this->version);
}

ApplyOutcome ControlState::ApplyChange(LogIndex index,
                                       const ReplaceSet& change) {
  if (change.number <= this->set_number) {
    return {ApplyKind::kOvertaken, this->version, {}};
  }
  config::Faults faults = CheckPathObjects(change.set);
  if (!faults.empty()) {
    return {ApplyKind::kRejected, this->version, std::move(faults)};
  }
  this->KeepOldWorkspaces(index, DiffSets(*this->set, change.set));
  this->PutSet(std::make_shared<const ConfigurationSet>(change.set));
  this->set_number = change.number;
  this->document = std::make_shared<const std::string>(change.document);
  this->version = index;
  return this->Applied(index);
}

ApplyOutcome ControlState::ApplyChange(LogIndex index,
                                       const CloseDataCentre& change) {
  if (!change.revision || !this->AllHostsRead(kRevisionFormat)) {
    // Hosts of older formats apply it to any revision and record none.
    this->revisions.erase(change.data_centre);
  } else if (this->closed.contains(change.data_centre) == change.closed) {
    return this->Applied(this->version);
  } else {
    const auto current = this->revisions.find(change.data_centre);
    const LogIndex revision =
        current == this->revisions.end() ? 0 : current->second;
    if (*change.revision != revision) {
      return {ApplyKind::kConflict, this->version, {}};
    }
    this->revisions[change.data_centre] = index;
  }
  if (change.closed) {
    this->closed.insert(change.data_centre);
  } else {
    this->closed.erase(change.data_centre);
  }
  return this->Applied(this->version);
}

void ControlState::PutSet(std::shared_ptr<const ConfigurationSet> next) {
  this->set = std::move(next);
  this->paths = std::make_shared<const PathIndex>(*this->set);
}

ApplyOutcome ControlState::Applied(SetVersion at) const {
  return {ApplyKind::kApplied, at, {}};
}

void ControlState::KeepOldWorkspaces(LogIndex index, const SetDelta& delta) {
  const auto keep = [&](const WorkspaceName& name) {
    const auto old = this->set->workspaces.find(name);
    if (old != this->set->workspaces.end()) {
      this->old_workspaces[name].push_back({index, old->second});
    }
  };
  for (const Workspace& workspace : delta.workspaces) {
    keep(workspace.name);
  }
  for (const ObjectReference& object : delta.removed) {
    if (object.kind == ObjectKind::kWorkspace) {
      keep(WorkspaceName(object.name));
    }
  }
}

void ControlState::RecordOutcome(const PublishId& id,
                                 const ApplyOutcome& outcome) {
  this->outcomes[id] = outcome;
  this->outcome_order.push_back(id);
  if (this->outcome_order.size() > kMaxOutcomes) {
    this->outcomes.erase(this->outcome_order.front());
    this->outcome_order.pop_front();
  }
}

Topology ControlState::CurrentTopology() const {
  Topology topology;
  for (const auto& [name, host] : *this->hosts) {
    topology.regions.insert(host.region);
    if (host.has_disk) {
      topology.disk_regions.insert(host.region);
    }
  }
  return topology;
}

std::string ControlState::Encode() const {
  json document;
  document["applied"] = this->applied;
  document["version"] = this->version;
  document["confirmed"] = this->confirmed;
  document["set"] = *this->set;
  document["set_number"] = this->set_number;
  document["document"] = *this->document;
  document["closed"] = this->closed;
  document["revisions"] = this->revisions;
  document["withdrawn"] = *this->withdrawn;
  document["hosts"] = *this->hosts;
  document["slices"] = this->slices;
  document["views"] = this->views;
  document["live"] = this->live;
  document["outcomes"] = this->outcomes;
  document["outcome_order"] = this->outcome_order;
  json old = json::array();
  for (const auto& [name, entries] : this->old_workspaces) {
    for (const OldWorkspace& entry : entries) {
      old.push_back({entry.until, entry.workspace});
    }
  }
  document["old_workspaces"] = std::move(old);
  std::string bytes;
  json::to_cbor(document, bytes);
  return this->AllHostsRead(kPackedFormat) ? Pack(std::move(bytes)) : bytes;
}

bool ControlState::AllHostsRead(std::uint32_t format) const {
  return !this->hosts->empty() &&
         std::all_of(this->hosts->begin(), this->hosts->end(),
                     [&](const auto& entry) {
                       return entry.second.reads_format >= format;
                     });
}

Expected<ControlState, DecodeError> ControlState::Decode(
    std::string_view bytes) {
  ControlState state;
  if (bytes.empty()) {
    return state;
  }
  try {
    // Lengths beyond all memory are thrown even if exceptions are turned off.
    const auto unpacked = Unpack(bytes);
    if (!unpacked) {
      return unexpected(DecodeError::kMalformed);
    }
    const json document = json::from_cbor(*unpacked, true, false);
    if (!document.is_object()) {
      return unexpected(DecodeError::kMalformed);
    }
    document.at("applied").get_to(state.applied);
    document.at("version").get_to(state.version);
    document.at("confirmed").get_to(state.confirmed);
    state.PutSet(std::make_shared<const ConfigurationSet>(
        document.at("set").get<ConfigurationSet>()));
    document.at("set_number").get_to(state.set_number);
    state.document = std::make_shared<const std::string>(
        document.at("document").get<std::string>());
    document.at("closed").get_to(state.closed);
    // States of older formats lack them.
    state.revisions = document.value("revisions", state.revisions);
    state.withdrawn = std::make_shared<const std::set<KeyDigest>>(
        document.at("withdrawn").get<std::set<KeyDigest>>());
    state.hosts = std::make_shared<std::map<HostName, HostRecord>>(
        document.at("hosts").get<std::map<HostName, HostRecord>>());
    document.at("slices").get_to(state.slices);
    document.at("views").get_to(state.views);
    document.at("live").get_to(state.live);
    document.at("outcomes").get_to(state.outcomes);
    document.at("outcome_order").get_to(state.outcome_order);
    for (const json& entry : document.at("old_workspaces")) {
      auto workspace = entry.at(1).get<Workspace>();
      const WorkspaceName name = workspace.name;
      state.old_workspaces[name].push_back(
          {entry.at(0).get<SetVersion>(), std::move(workspace)});
    }
  } catch (const json::exception&) {
    return unexpected(DecodeError::kMalformed);
  }
  return state;
}

}  // namespace tamarackwing::state
