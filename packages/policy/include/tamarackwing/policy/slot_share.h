#pragma once

#include <cstdint>
#include <map>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! Splits a pool of server slots between the hosts of a region by demand, each
//! host at least one. Every host computes the same split from the same demands.
//! Thread safety: reentrant.
std::map<HostName, std::uint32_t> ShareSlots(
    std::uint32_t slots,
    const std::map<HostName, std::uint32_t>& demand);

}  // namespace tamarackwing::policy
