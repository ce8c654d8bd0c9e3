#pragma once

#include <string_view>

#include "exit_code.h"

namespace tamarackwing::cli {

//! Runs an experiment and prints its report. Returns kDuplicateRun if an
//! operation ran more than once. Thread safety: one call at a time.
ExitCode RunExperiment(std::string_view toml);

}  // namespace tamarackwing::cli
