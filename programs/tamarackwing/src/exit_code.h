#pragma once

namespace tamarackwing::cli {

//! Exit codes of the program, by class of outcome; documented in docs/cli.md.
enum class ExitCode {
  kDone = 0,
  kUsage = 2,
  kFaults = 3,
  kConflict = 4,
  kUnavailable = 5,
  kNotEverywhere = 6,
  kDuplicateRun = 7,
  kRefused = 8,
};

}  // namespace tamarackwing::cli
