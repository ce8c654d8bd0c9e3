#pragma once

#include <cstddef>
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

//! Returns the first keeper of each of at most `count` other regions, without
//! `silent` hosts: the hosts that the entry hosts there ask first. The regions
//! depend on the workspace, so that no region gets the questions about all
//! workspaces. Thread safety: reentrant.
std::vector<HostName> KeepersOfOtherRegions(
    const WorkspaceName& workspace,
    const RegionName& region,
    const HostName& leader,
    const std::map<HostName, state::HostRecord>& hosts,
    const std::map<RegionName, std::set<HostName>>& live,
    const std::set<HostName>& silent,
    std::size_t count);

}  // namespace tamarackwing::control
