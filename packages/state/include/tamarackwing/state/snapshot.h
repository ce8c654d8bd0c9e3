#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/state/configuration_set.h"
#include "tamarackwing/state/host_record.h"
#include "tamarackwing/state/path_index.h"
#include "tamarackwing/state/region_share.h"

namespace tamarackwing::state {

//! The part of the control state that traffic threads use, at one point in
//! time. Immutable; shared between threads, and replaced as a whole by an
//! update.
struct Snapshot {
  LogIndex applied = 0;
  SetVersion version = 0;
  //! Never null.
  std::shared_ptr<const ConfigurationSet> set =
      std::make_shared<const ConfigurationSet>();
  //! Number of the last set applied by ReplaceSet; zero if there was none.
  std::uint64_t set_number = 0;
  //! Never null.
  std::shared_ptr<const PathIndex> paths = std::make_shared<const PathIndex>();
  //! Document that the operator sent with that set. Never null.
  std::shared_ptr<const std::string> document =
      std::make_shared<const std::string>();
  std::set<DataCentreName> closed_data_centres;
  //! As for ControlState::Revisions.
  std::map<DataCentreName, LogIndex> data_centre_revisions;
  //! Never null.
  std::shared_ptr<const std::set<KeyDigest>> withdrawn =
      std::make_shared<const std::set<KeyDigest>>();
  //! Never null; the same object until a host changes.
  std::shared_ptr<const std::map<HostName, HostRecord>> hosts =
      std::make_shared<const std::map<HostName, HostRecord>>();
  //! Number of entry hosts in all regions.
  std::size_t entry_hosts = 0;
  //! This host and the hosts that the leader considers live, without those of
  //! this region from which this host has received no recent message.
  std::set<HostName> live;
  //! Time of the last contact with the leader known to this host, which
  //! therefore knows everything that was committed by then.
  TimePoint leader_contact;
  //! The host that this one asks for the log's entries; itself while it leads.
  HostName contact_source;
  //! Time until which this host may serve keys that do not have its region as
  //! a home region. Path routes serve no keys at all after this time.
  TimePoint keys_fresh_until;
  //! This region's budget shares of workspaces whose change is not yet
  //! confirmed on every host; all other shares are derived from the set.
  std::map<WorkspaceName, RegionShare> changing_shares;
  //! This host's static share of the region's budget, in ten-thousandths.
  TokenCount slice = 0;
  //! Whether the host may serve requests.
  bool ready = false;
};

}  // namespace tamarackwing::state
