#include "settings_file.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace tamarackwing::daemon {
namespace {

//! The cost of a look is a few system calls.
constexpr std::chrono::seconds kLookEvery{2};

}  // namespace

SettingsFile::SettingsFile(std::string path, const Clock& clock)
    : path(std::move(path)), clock(clock) {}

std::string SettingsFile::Read() {
  const std::ifstream file(this->path);
  std::ostringstream text;
  text << file.rdbuf();
  this->last = text.str();
  this->look_at = this->clock.Now() + kLookEvery;
  return this->last;
}

std::optional<std::string> SettingsFile::ReadIfChanged() {
  if (this->clock.Now() < this->look_at) {
    return std::nullopt;
  }
  const std::string before = this->last;
  std::string now = this->Read();
  if (now == before) {
    return std::nullopt;
  }
  return now;
}

}  // namespace tamarackwing::daemon
