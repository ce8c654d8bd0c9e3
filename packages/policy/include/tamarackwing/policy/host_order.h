#pragma once

#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! The order in which a workspace should try hosts: a rendezvous hash, so that
//! it stays on few hosts and a lost host moves only its own workspaces.
//! Thread safety: reentrant.
std::vector<HostName> OrderHosts(const WorkspaceName& workspace,
                                 std::vector<HostName> hosts);

}  // namespace tamarackwing::policy
