#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::daemon {

//! A host's settings file, watched for changes of its content.
//! Not thread-safe.
class SettingsFile {
 public:
  //! Precondition: `clock` outlives the file.
  SettingsFile(std::string path, const Clock& clock);

  const std::string& Path() const { return this->path; }
  //! Reads the file now; returns an empty string if it can't be read.
  std::string Read();
  //! Returns the content if it differs from the last one read. Reads the file
  //! at most once every few seconds and returns nullopt in between.
  std::optional<std::string> ReadIfChanged();

 private:
  std::string path;
  const Clock& clock;
  std::string last_content;
  TimePoint check_at;
};

}  // namespace tamarackwing::daemon
