#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/policy/offered_work.h"
#include "tamarackwing/policy/server_table.h"

namespace tamarackwing::daemon {

//! The queued and running requests of a region for one target.
struct RegionDemand {
  //! Requests of each host.
  std::map<HostName, std::uint32_t> hosts;
  //! Requests of this host.
  std::uint32_t own = 0;
  std::uint32_t total = 0;
  //! Prompt tokens sent whose prefill has not finished.
  TokenCount pending_prefill = 0;
  //! Work that the callers of all hosts offer; see control::TargetLoad.
  std::uint32_t offered = 0;
  std::uint32_t movable = 0;
};

//! Counts the requests for `target`. `gate_demand` is the number of requests
//! that wait in or run through this host's admission gate, `load` this host's
//! load on the servers, which includes path calls that bypass the gate, `work`
//! the work that this host's callers offer; `peers` has the recent statuses of
//! the region's other hosts. Thread safety: reentrant.
RegionDemand CountDemand(
    const std::string& target,
    const HostName& self,
    std::uint32_t gate_demand,
    const policy::OwnLoad& load,
    const policy::WorkRate& work,
    const std::map<HostName, const control::RegionStatus*>& peers);

}  // namespace tamarackwing::daemon
