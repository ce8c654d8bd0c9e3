#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/config/fault.h"
#include "tamarackwing/state/configuration_set.h"
#include "tamarackwing/state/control_change.h"
#include "tamarackwing/state/host_record.h"
#include "tamarackwing/state/path_index.h"
#include "tamarackwing/state/region_share.h"
#include "tamarackwing/state/region_view.h"
#include "tamarackwing/state/topology.h"

namespace tamarackwing::state {

//! How a change ended.
enum class ApplyKind {
  kApplied,
  //! Another change came first: the base version is not the current one.
  kConflict,
  //! The set would not pass the check.
  kRejected,
  //! The bytes were no change, or the change had no effect.
  kIgnored,
  //! A set with this number, or a higher one, is in force; nothing changed.
  kOvertaken,
};

//! The outcome of a change.
struct ApplyOutcome {
  ApplyKind kind = ApplyKind::kIgnored;
  //! The set's version afterwards.
  SetVersion version = 0;
  config::Faults faults;
};

//! The control state that the agreed log builds: the same on every host that
//! has applied the same entries. Pure; not thread-safe.
class ControlState {
 public:
  ControlState();

  //! Applies one entry's payload. Precondition: `index` follows the last one.
  ApplyOutcome Apply(LogIndex index, std::string_view payload);
  //! Notes an entry without a change.
  void Skip(LogIndex index) { this->applied = index; }
  //! What a publish would come to now, without taking effect.
  ApplyOutcome Check(const PublishSet& publish) const;

  LogIndex Applied() const { return this->applied; }
  SetVersion Version() const { return this->version; }
  const std::shared_ptr<const ConfigurationSet>& Set() const {
    return this->set;
  }
  //! The number of the set in force; zero where none came with a number.
  std::uint64_t SetNumber() const { return this->set_number; }
  //! What the operator sent with that number. Never null.
  const std::shared_ptr<const std::string>& Document() const {
    return this->document;
  }
  //! Data centres whose servers get no new work.
  const std::set<DataCentreName>& ClosedDataCentres() const {
    return this->closed;
  }
  //! The path routes of the set. Never null.
  const std::shared_ptr<const PathIndex>& Paths() const { return this->paths; }
  const std::shared_ptr<const std::set<KeyDigest>>& Withdrawn() const {
    return this->withdrawn;
  }
  const std::map<HostName, HostRecord>& Hosts() const { return *this->hosts; }
  //! The same, shared: a new table whenever a host changes.
  const std::shared_ptr<const std::map<HostName, HostRecord>>& HostTable()
      const {
    return this->hosts;
  }
  const std::map<RegionName, RegionView>& Views() const { return this->views; }
  //! The hosts of each region that answered the leader.
  const std::map<RegionName, std::set<HostName>>& Live() const {
    return this->live;
  }
  //! The newest version that is in force on every host.
  SetVersion Confirmed() const { return this->confirmed; }
  //! The outcome of a publish with that id, where it has one.
  std::optional<ApplyOutcome> OutcomeOf(const PublishId& id) const;
  //! A region's part of a workspace's budget: no more than the old and the new
  //! part while hosts may still go by either.
  RegionShare ShareOf(const WorkspaceName& workspace,
                      const RegionName& region) const;
  //! The shares of workspaces whose change is not yet in force everywhere.
  std::map<WorkspaceName, RegionShare> ChangingShares(
      const RegionName& region) const;
  //! The place of a host among the floor slices of its region.
  std::optional<std::size_t> SliceOf(const HostName& host) const;

  //! The whole state as bytes, for snapshots.
  std::string Encode() const;
  //! Reads a state back. Thread safety: reentrant.
  static Expected<ControlState, DecodeError> Decode(std::string_view bytes);

 private:
  struct OldWorkspace {
    //! The version that replaced it.
    SetVersion until = 0;
    Workspace workspace;
  };

  ApplyOutcome ApplyChange(LogIndex index, const PublishSet& change);
  ApplyOutcome ApplyChange(LogIndex index, const GrantKey& change);
  ApplyOutcome ApplyChange(LogIndex index, const WithdrawKeys& change);
  ApplyOutcome ApplyChange(LogIndex index, const PutHost& change);
  ApplyOutcome ApplyChange(LogIndex index, const RemoveHost& change);
  ApplyOutcome ApplyChange(LogIndex index, const DrainHost& change);
  ApplyOutcome ApplyChange(LogIndex index, const PutRegionView& change);
  ApplyOutcome ApplyChange(LogIndex index, const ConfirmVersion& change);
  ApplyOutcome ApplyChange(LogIndex index, const SetLiveHosts& change);
  ApplyOutcome ApplyChange(LogIndex index, const ReplaceSet& change);
  ApplyOutcome ApplyChange(LogIndex index, const CloseDataCentre& change);
  void PutSet(std::shared_ptr<const ConfigurationSet> next);

  //! Checks a change against `next`, which is the set with the change.
  ApplyOutcome CheckNext(const SetDelta& delta,
                         const ConfigurationSet& next) const;
  ApplyOutcome Applied(SetVersion at) const;
  void KeepOldWorkspaces(LogIndex index, const SetDelta& delta);
  void Remember(const PublishId& id, const ApplyOutcome& outcome);
  Topology CurrentTopology() const;

  LogIndex applied = 0;
  SetVersion version = 0;
  SetVersion confirmed = 0;
  //! Whether hosts came or went since the set was last checked whole.
  bool topology_changed = true;
  std::uint64_t set_number = 0;
  std::shared_ptr<const std::string> document;
  std::set<DataCentreName> closed;
  std::shared_ptr<const ConfigurationSet> set;
  std::shared_ptr<const PathIndex> paths;
  std::shared_ptr<const std::set<KeyDigest>> withdrawn;
  std::shared_ptr<const std::map<HostName, HostRecord>> hosts;
  std::map<HostName, std::size_t> slices;
  std::map<RegionName, RegionView> views;
  std::map<RegionName, std::set<HostName>> live;
  std::map<WorkspaceName, std::vector<OldWorkspace>> old_workspaces;
  std::map<PublishId, ApplyOutcome> outcomes;
  std::deque<PublishId> outcome_order;
};

}  // namespace tamarackwing::state
