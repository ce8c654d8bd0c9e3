#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/policy/server_table.h"

namespace tamarackwing::daemon {

//! The requests for one target that the hosts of a region have.
struct RegionDemand {
  std::map<HostName, std::uint32_t> hosts;
  std::uint32_t own = 0;
  std::uint32_t total = 0;
  //! Prompt tokens that were sent and have not been read.
  TokenCount pending_prefill = 0;
};

//! Counts them: `gate` is what waits at or has passed this host's gate, `load`
//! what this host has at the servers, of which path calls don't pass the gate;
//! `peers` are the hosts of the region that were heard lately.
//! Thread safety: reentrant.
RegionDemand CountDemand(
    const std::string& target,
    const HostName& self,
    std::uint32_t gate,
    const policy::OwnLoad& load,
    const std::map<HostName, const control::RegionStatus*>& peers);

}  // namespace tamarackwing::daemon
