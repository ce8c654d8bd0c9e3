#pragma once

#include <set>

#include "tamarackwing/config/fault.h"
#include "tamarackwing/state/configuration_set.h"
#include "tamarackwing/state/topology.h"

namespace tamarackwing::state {

//! Checks every reference and rule of a set and lists all faults at once.
//! Thread safety: reentrant.
config::Faults CheckSet(const ConfigurationSet& set,
                        const Topology& topology,
                        const std::set<KeyDigest>& withdrawn);

}  // namespace tamarackwing::state
