#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

#include "commands.h"

DECLARE_bool(help);

int main(int argc, char** argv) {
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (FLAGS_help) {
    std::cout << tamarackwing::cli::HelpText(arguments.empty() ? ""
                                                               : arguments[0]);
    return 0;
  }
  return static_cast<int>(tamarackwing::cli::RunCommand(arguments));
}
