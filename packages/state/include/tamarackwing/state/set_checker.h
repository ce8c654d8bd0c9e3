#pragma once

#include <set>

#include "tamarackwing/config/fault.h"
#include "tamarackwing/state/configuration_set.h"
#include "tamarackwing/state/topology.h"

namespace tamarackwing::state {

//! Validates every reference and rule of a set and returns all errors.
//! Thread safety: reentrant.
config::Faults CheckSet(const ConfigurationSet& set,
                        const Topology& topology,
                        const std::set<KeyDigest>& withdrawn);

//! Validates `set`, which is a valid set with `delta` applied. Checks only the
//! objects in the delta, or the complete set if the delta can invalidate other
//! objects. Returns the same errors as CheckSet. Precondition: CheckSet found
//! no errors before the delta, under the same topology. Thread safety:
//! reentrant.
config::Faults CheckDelta(const ConfigurationSet& set,
                          const SetDelta& delta,
                          const Topology& topology,
                          const std::set<KeyDigest>& withdrawn);

//! Validates services and path routes only, independent of the hosts.
//! Thread safety: reentrant.
config::Faults CheckPathObjects(const ConfigurationSet& set);

}  // namespace tamarackwing::state
