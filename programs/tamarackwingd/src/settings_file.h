#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::daemon {

//! The file of a host's settings, and whether its content has changed.
//! Not thread-safe.
class SettingsFile {
 public:
  //! Precondition: `clock` outlives the file.
  SettingsFile(std::string path, const Clock& clock);

  const std::string& Path() const { return this->path; }
  //! Reads the file now; empty where it can't be read.
  std::string Read();
  //! The content where it differs from what was read last; looks at the file
  //! every few seconds only.
  std::optional<std::string> ReadIfChanged();

 private:
  std::string path;
  const Clock& clock;
  std::string last;
  TimePoint look_at;
};

}  // namespace tamarackwing::daemon
