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

//! Result of applying a change.
enum class ApplyKind {
  kApplied,
  //! Another change was applied first: the version or the revision that this
  //! one is based on is not current.
  kConflict,
  //! The resulting set fails validation.
  kRejected,
  //! The payload could not be decoded, or the change did not apply.
  kIgnored,
  //! A set with this or a higher number is already in effect; nothing changed.
  kOvertaken,
};

//! Result of a change, with its validation errors.
struct ApplyOutcome {
  ApplyKind kind = ApplyKind::kIgnored;
  //! Version of the set after the change.
  SetVersion version = 0;
  config::Faults faults;
};

//! State machine replicated by the agreed log: identical on all hosts that have
//! applied the same entries. Performs no I/O. Not thread-safe.
class ControlState {
 public:
  ControlState();

  //! Applies the payload of one entry. Precondition: `index` directly follows
  //! Applied().
  ApplyOutcome Apply(LogIndex index, std::string_view payload);
  //! Marks the entry at `index`, which holds no change, as applied.
  void Skip(LogIndex index) { this->applied = index; }
  //! Returns the outcome that a publish would have now, without applying it.
  ApplyOutcome Check(const PublishSet& publish) const;

  LogIndex Applied() const { return this->applied; }
  SetVersion Version() const { return this->version; }
  const std::shared_ptr<const ConfigurationSet>& Set() const {
    return this->set;
  }
  //! Returns the number of the last set applied by ReplaceSet; zero if there
  //! was none.
  std::uint64_t SetNumber() const { return this->set_number; }
  //! Returns the document that the operator sent with that set. Never null.
  const std::shared_ptr<const std::string>& Document() const {
    return this->document;
  }
  //! Returns the closed (evacuated) data centres, whose servers get no new
  //! requests.
  const std::set<DataCentreName>& ClosedDataCentres() const {
    return this->closed;
  }
  //! Returns the entry that last closed or opened each data centre, of those
  //! that name a revision.
  const std::map<DataCentreName, LogIndex>& Revisions() const {
    return this->revisions;
  }
  //! Returns an index of the set's path routes. Never null.
  const std::shared_ptr<const PathIndex>& Paths() const { return this->paths; }
  const std::shared_ptr<const std::set<KeyDigest>>& Withdrawn() const {
    return this->withdrawn;
  }
  const std::map<HostName, HostRecord>& Hosts() const { return *this->hosts; }
  //! Returns the same table as Hosts(), shared. The table never changes while
  //! somebody else holds it: a change of a host replaces it then.
  std::shared_ptr<const std::map<HostName, HostRecord>> HostTable() const {
    return this->hosts;
  }
  const std::map<RegionName, RegionView>& Views() const { return this->views; }
  //! Returns the hosts of each region that the leader considers live.
  const std::map<RegionName, std::set<HostName>>& Live() const {
    return this->live;
  }
  //! Returns the newest version that every host is known to have applied.
  SetVersion Confirmed() const { return this->confirmed; }
  //! Returns the outcome that a change has whenever it is applied from now on,
  //! because the change, or one that overtakes it, is in effect; nullopt if
  //! that is open.
  std::optional<ApplyOutcome> KnownOutcome(const ControlChange& change) const;
  //! Returns the recorded outcome of a publish with this id; nullopt if there
  //! is none.
  std::optional<ApplyOutcome> OutcomeOf(const PublishId& id) const;
  //! Returns a region's share of a workspace's budget. Until a change of the
  //! workspace is confirmed on every host, this is the minimum of the old and
  //! the new share, because hosts may still apply either.
  RegionShare ShareOf(const WorkspaceName& workspace,
                      const RegionName& region) const;
  //! Returns the shares of workspaces with a change that is not yet confirmed
  //! on every host.
  std::map<WorkspaceName, RegionShare> ChangingShares(
      const RegionName& region) const;
  //! Returns the number of a host's static quota share, unique within its
  //! region; nullopt for an unknown host.
  std::optional<std::size_t> SliceOf(const HostName& host) const;

  //! Returns the complete state, encoded as CBOR for snapshots.
  std::string Encode() const;
  //! Returns whether the builds of all hosts read a format of log entries and
  //! states; false while no host is known.
  bool AllHostsRead(std::uint32_t format) const;
  //! Decodes a state; empty input yields the initial state. Errors: kMalformed.
  //! Thread safety: reentrant.
  static Expected<ControlState, DecodeError> Decode(std::string_view bytes);

 private:
  //! A replaced workspace that some hosts may still apply.
  struct OldWorkspace {
    //! Version of the set that replaced it.
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
  //! Returns the table of hosts for a change, copied if it is shared.
  std::map<HostName, HostRecord>& MutableHosts();
  void PutSet(std::shared_ptr<const ConfigurationSet> next);

  //! Validates a change; `next` is the current set with `delta` applied.
  ApplyOutcome CheckNext(const SetDelta& delta,
                         const ConfigurationSet& next) const;
  ApplyOutcome Applied(SetVersion at) const;
  //! Keeps the old form of workspaces that `delta` replaces or removes, for
  //! ShareOf, until version `index` is confirmed on every host.
  void KeepOldWorkspaces(LogIndex index, const SetDelta& delta);
  //! Records an outcome for resent publishes and evicts the oldest over the
  //! limit.
  void RecordOutcome(const PublishId& id, const ApplyOutcome& outcome);
  Topology CurrentTopology() const;

  LogIndex applied = 0;
  SetVersion version = 0;
  SetVersion confirmed = 0;
  //! Whether hosts changed since the last full check of the set.
  bool topology_changed = true;
  std::uint64_t set_number = 0;
  std::shared_ptr<const std::string> document;
  std::set<DataCentreName> closed;
  std::map<DataCentreName, LogIndex> revisions;
  std::shared_ptr<const ConfigurationSet> set;
  std::shared_ptr<const PathIndex> paths;
  std::shared_ptr<const std::set<KeyDigest>> withdrawn;
  std::shared_ptr<std::map<HostName, HostRecord>> hosts;
  //! Number of each host's static quota share within its region.
  std::map<HostName, std::size_t> slices;
  std::map<RegionName, RegionView> views;
  std::map<RegionName, std::set<HostName>> live;
  std::map<WorkspaceName, std::vector<OldWorkspace>> old_workspaces;
  std::map<PublishId, ApplyOutcome> outcomes;
  //! Ids of `outcomes`, oldest first.
  std::deque<PublishId> outcome_order;
};

}  // namespace tamarackwing::state
