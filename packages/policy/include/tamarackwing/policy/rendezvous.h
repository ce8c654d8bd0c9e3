#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! Returns the weight of a node for a key in rendezvous hashing: the node with
//! the highest weight owns the key, and a lost node moves only the keys it
//! owned. The weight is the same on every host. Thread safety: reentrant.
std::uint64_t RendezvousWeight(std::uint64_t key, std::string_view node);

//! Returns the key of a text, which is the same on every host. Thread safety:
//! reentrant.
std::uint64_t RendezvousKey(std::string_view text);

//! Returns whether `host` is one of the `owners` hosts with the highest weights
//! for a key. `hosts` need not contain `host`. Thread safety: reentrant.
bool IsAmongOwners(std::uint64_t key,
                   const HostName& host,
                   const std::vector<HostName>& hosts,
                   std::size_t owners);

}  // namespace tamarackwing::policy
