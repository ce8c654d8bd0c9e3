#pragma once

namespace tamarackwing::cli {

//! How the program ends, by class of outcome; docs/cli.md lists them.
enum class ExitCode {
  kDone = 0,
  kUsage = 2,
  kFaults = 3,
  kConflict = 4,
  kUnavailable = 5,
  kNotEverywhere = 6,
  kPromiseBroken = 7,
  kRefused = 8,
};

}  // namespace tamarackwing::cli
