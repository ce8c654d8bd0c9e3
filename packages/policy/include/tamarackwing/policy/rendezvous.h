#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! The weight of a holder for a key: the holder with the highest one owns it,
//! and a lost holder moves only its own keys. The same on every host.
//! Thread safety: reentrant.
std::uint64_t RendezvousWeight(std::uint64_t key, std::string_view holder);

//! A key of a text, the same on every host. Thread safety: reentrant.
std::uint64_t RendezvousKey(std::string_view text);

//! Whether `host` is among the `owners` hosts of highest weight for a key.
//! `hosts` may leave `host` out. Thread safety: reentrant.
bool IsAmongOwners(std::uint64_t key,
                   const HostName& host,
                   const std::vector<HostName>& hosts,
                   std::size_t owners);

}  // namespace tamarackwing::policy
