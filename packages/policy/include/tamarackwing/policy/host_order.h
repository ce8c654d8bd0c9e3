#pragma once

#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! Returns the hosts in the order in which a workspace should try them. Uses
//! rendezvous hashing, so that a workspace stays on few hosts and a lost host
//! moves only the workspaces that preferred it.
//! Thread safety: reentrant.
std::vector<HostName> OrderHosts(const WorkspaceName& workspace,
                                 std::vector<HostName> hosts);

}  // namespace tamarackwing::policy
