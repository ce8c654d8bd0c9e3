#pragma once

#include <nlohmann/json.hpp>

#include "tamarackwing/config/fault.h"
#include "tamarackwing/state/configuration_set.h"

namespace tamarackwing::operators {

//! Returns a configuration set as JSON, with the field names of its TOML form.
//! Its `services`, `path_routes` and `caller_limits` are left out.
//! Thread safety: reentrant.
nlohmann::ordered_json SetDocument(const state::ConfigurationSet& set);

//! Returns validation errors as a JSON array. Thread safety: reentrant.
nlohmann::ordered_json FaultDocument(const config::Faults& faults);

}  // namespace tamarackwing::operators
