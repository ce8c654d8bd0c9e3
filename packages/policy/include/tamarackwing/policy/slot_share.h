#pragma once

#include <cstdint>
#include <map>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! Divides server slots among the hosts of a region in proportion to demand.
//! Each host gets at least one, even if their sum then exceeds `slots`. The
//! result is deterministic, so that all hosts with the same input agree on it.
//! Thread safety: reentrant.
std::map<HostName, std::uint32_t> ShareSlots(
    std::uint32_t slots,
    const std::map<HostName, std::uint32_t>& demand);

}  // namespace tamarackwing::policy
