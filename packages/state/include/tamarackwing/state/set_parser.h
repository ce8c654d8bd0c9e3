#pragma once

#include <string_view>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/config/fault.h"
#include "tamarackwing/state/configuration_set.h"

namespace tamarackwing::state {

//! Parses a configuration set from TOML. On failure returns all errors, each
//! with its path and line. References are not resolved; CheckSet validates
//! them. Thread safety: reentrant.
Expected<ConfigurationSet, config::Faults> ParseSet(std::string_view toml);

}  // namespace tamarackwing::state
