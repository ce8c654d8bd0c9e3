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

//! Checks a set that was whole before `delta`: only what the delta names, and
//! all where it takes something away that others may refer to. Finds the same
//! faults as CheckSet. Precondition: CheckSet found none before, under the same
//! topology. Thread safety: reentrant.
config::Faults CheckDelta(const ConfigurationSet& set,
                          const SetDelta& delta,
                          const Topology& topology,
                          const std::set<KeyDigest>& withdrawn);

//! Checks services and path routes by themselves, whatever hosts there are.
//! Thread safety: reentrant.
config::Faults CheckPathObjects(const ConfigurationSet& set);

}  // namespace tamarackwing::state
