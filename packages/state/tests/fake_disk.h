#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "tamarackwing/state/disk.h"

namespace tamarackwing::state {

//! A disk that loses what was not synced and fails at a step of choice.
class FakeDisk final : public Disk {
 public:
  Expected<std::string, DiskError> Read(const std::string& name) override {
    const auto file = this->files.find(name);
    if (file == this->files.end()) {
      return unexpected(DiskError::kNotFound);
    }
    return file->second.bytes;
  }

  Expected<void, DiskError> Append(const std::string& name,
                                   std::string_view bytes) override {
    if (this->Fails()) {
      // A full disk may still take a part.
      this->files[name].bytes += bytes.substr(0, bytes.size() / 2);
      return unexpected(this->error);
    }
    this->files[name].bytes += bytes;
    return {};
  }

  Expected<void, DiskError> Sync(const std::string& name) override {
    if (this->Fails()) {
      return unexpected(this->error);
    }
    this->files[name].synced = this->files[name].bytes.size();
    return {};
  }

  Expected<void, DiskError> Replace(const std::string& name,
                                    std::string_view bytes) override {
    if (this->Fails()) {
      return unexpected(this->error);
    }
    this->files[name] = {std::string(bytes), bytes.size()};
    return {};
  }

  Expected<void, DiskError> Truncate(const std::string& name,
                                     std::uint64_t length) override {
    this->files[name].bytes.resize(length);
    this->files[name].synced = length;
    return {};
  }

  //! Loses what was not synced, but for `kept` bytes of it.
  void Crash(std::size_t kept) {
    this->steps_left = kNever;
    for (auto& [name, file] : this->files) {
      const std::size_t end = std::min(file.bytes.size(), file.synced + kept);
      file.bytes.resize(end);
    }
  }
  //! Makes the step after `steps` more ones fail.
  void FailAfter(std::size_t steps, DiskError with) {
    this->steps_left = steps;
    this->error = with;
  }
  //! The bytes of a file, for a test to damage.
  std::string& Bytes(const std::string& name) {
    return this->files[name].bytes;
  }

 private:
  static constexpr std::size_t kNever = ~std::size_t{0};
  struct File {
    std::string bytes;
    std::size_t synced = 0;
  };

  bool Fails() {
    if (this->steps_left == kNever) {
      return false;
    }
    if (this->steps_left == 0) {
      return true;
    }
    this->steps_left -= 1;
    return false;
  }

  std::map<std::string, File> files;
  std::size_t steps_left = kNever;
  DiskError error = DiskError::kFull;
};

}  // namespace tamarackwing::state
