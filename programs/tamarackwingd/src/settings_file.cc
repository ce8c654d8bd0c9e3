#include "settings_file.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace tamarackwing::daemon {
namespace {

//! Each check costs a few system calls.
constexpr std::chrono::seconds kCheckInterval{2};

}  // namespace

SettingsFile::SettingsFile(std::string path, const Clock& clock)
    : path(std::move(path)), clock(clock) {}

std::string SettingsFile::Read() {
  const std::ifstream file(this->path);
  std::ostringstream text;
  text << file.rdbuf();
  this->last_content = text.str();
  this->check_at = this->clock.Now() + kCheckInterval;
  return this->last_content;
}

std::optional<std::string> SettingsFile::ReadIfChanged() {
  if (this->clock.Now() < this->check_at) {
    return std::nullopt;
  }
  const std::string before = this->last_content;
  std::string now = this->Read();
  if (now == before) {
    return std::nullopt;
  }
  return now;
}

}  // namespace tamarackwing::daemon
