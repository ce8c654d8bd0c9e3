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

//! What traffic threads know of the control state at one moment. Immutable;
//! shared between threads and swapped whole.
struct Snapshot {
  LogIndex applied = 0;
  SetVersion version = 0;
  //! Never null.
  std::shared_ptr<const ConfigurationSet> set =
      std::make_shared<const ConfigurationSet>();
  //! The number of the set; zero where none came with a number.
  std::uint64_t set_number = 0;
  //! Never null.
  std::shared_ptr<const PathIndex> paths = std::make_shared<const PathIndex>();
  //! What the operator sent with the number.
  std::shared_ptr<const std::string> document =
      std::make_shared<const std::string>();
  std::set<DataCentreName> closed_data_centres;
  //! Never null.
  std::shared_ptr<const std::set<KeyDigest>> withdrawn =
      std::make_shared<const std::set<KeyDigest>>();
  //! Never null; the same one until a host changes.
  std::shared_ptr<const std::map<HostName, HostRecord>> hosts =
      std::make_shared<const std::map<HostName, HostRecord>>();
  //! How many of the hosts take callers.
  std::size_t entry_hosts = 0;
  //! Hosts that answered lately.
  std::set<HostName> live;
  //! When this host last had word of all that was committed.
  TimePoint leader_contact;
  //! Until when keys of other home regions may be served.
  TimePoint keys_fresh_until;
  //! Budget shares of this region that are changing; others follow the set.
  std::map<WorkspaceName, RegionShare> changing_shares;
  //! Part of the region's share that this host owns, in ten-thousandths.
  TokenCount slice = 0;
  //! Whether the host may serve at all.
  bool ready = false;
};

}  // namespace tamarackwing::state
