#pragma once

#include <map>
#include <memory>
#include <set>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/state/configuration_set.h"
#include "tamarackwing/state/host_record.h"

namespace tamarackwing::state {

//! What traffic threads know of the control state at one moment. Immutable;
//! shared between threads and swapped whole.
struct Snapshot {
  LogIndex applied = 0;
  SetVersion version = 0;
  std::shared_ptr<const ConfigurationSet> set;
  std::shared_ptr<const std::set<KeyDigest>> withdrawn;
  std::map<HostName, HostRecord> hosts;
  //! Hosts that answered lately.
  std::set<HostName> live;
  //! Until when keys of other home regions may be served.
  TimePoint keys_fresh_until;
  //! Whether the host may serve at all.
  bool ready = false;
};

}  // namespace tamarackwing::state
