#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/state/host_record.h"

namespace tamarackwing::control {

//! Returns the hosts that keep the origin of a stream: two entry hosts, of two
//! regions if there are. All hosts that know the same hosts return the same.
//! Thread safety: reentrant.
std::vector<HostName> StreamKeepers(
    std::uint64_t stream,
    const std::map<HostName, state::HostRecord>& hosts);

}  // namespace tamarackwing::control
