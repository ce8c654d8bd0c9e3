#pragma once

#include <string_view>

#include "exit_code.h"

namespace tamarackwing::cli {

//! Runs an experiment and prints its report; kPromiseBroken where an operation
//! ran twice. Thread safety: once at a time.
ExitCode RunExperiment(std::string_view toml);

}  // namespace tamarackwing::cli
