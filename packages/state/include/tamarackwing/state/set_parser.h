#pragma once

#include <string_view>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/config/fault.h"
#include "tamarackwing/state/configuration_set.h"

namespace tamarackwing::state {

//! Reads a set from TOML; on failure every fault, with its path and line.
//! References are not followed: CheckSet does that. Thread safety: reentrant.
Expected<ConfigurationSet, config::Faults> ParseSet(std::string_view toml);

}  // namespace tamarackwing::state
