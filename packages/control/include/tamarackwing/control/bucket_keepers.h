#pragma once

#include <map>
#include <set>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/state/host_record.h"

namespace tamarackwing::control {

//! Returns the live hosts with disks in the order in which an entry host of
//! `region` asks them for a workspace's tokens. The first keeps the workspace's
//! bucket in the region, for all entry hosts that know the same hosts and
//! leader; the leader comes last in its region, and those of other regions
//! after it. `leader` may be empty. Thread safety: reentrant.
std::vector<HostName> BucketKeepers(
    const WorkspaceName& workspace,
    const RegionName& region,
    const HostName& leader,
    const std::map<HostName, state::HostRecord>& hosts,
    const std::map<RegionName, std::set<HostName>>& live);

}  // namespace tamarackwing::control
