#pragma once

#include <string>
#include <vector>

#include "exit_code.h"

namespace tamarackwing::cli {

//! Runs a command with its words. Thread safety: once, from the main thread.
ExitCode RunCommand(const std::vector<std::string>& words);

//! What `--help` prints for a command, or for all where it is unknown.
std::string HelpText(const std::string& command);

}  // namespace tamarackwing::cli
