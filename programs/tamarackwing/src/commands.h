#pragma once

#include <string>
#include <vector>

#include "exit_code.h"

namespace tamarackwing::cli {

//! Runs the command named by the first argument with the others. Thread safety:
//! called once, from the main thread.
ExitCode RunCommand(const std::vector<std::string>& arguments);

//! Returns the usage text of a command, or that of all commands if it is
//! unknown.
std::string HelpText(const std::string& command);

}  // namespace tamarackwing::cli
