#pragma once

#include <nlohmann/json.hpp>

#include "tamarackwing/config/fault.h"
#include "tamarackwing/state/configuration_set.h"

namespace tamarackwing::operators {

//! A set as JSON, with the field names of its TOML. Thread safety: reentrant.
nlohmann::ordered_json SetDocument(const state::ConfigurationSet& set);

//! Faults as JSON. Thread safety: reentrant.
nlohmann::ordered_json FaultDocument(const config::Faults& faults);

}  // namespace tamarackwing::operators
