#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "tamarackwing/state/disk.h"

namespace tamarackwing::state {

//! In-memory disk that loses unsynced bytes in a crash and can be made to fail
//! at a given write, sync or replace.
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
      // A full disk may still store some of the bytes.
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

  //! Loses all unsynced bytes except the first `kept` of each file, and ends an
  //! injected failure.
  void Crash(std::size_t kept) {
    this->steps_left = kNever;
    for (auto& [name, file] : this->files) {
      const std::size_t end = std::min(file.bytes.size(), file.synced + kept);
      file.bytes.resize(end);
    }
  }
  //! Lets the next `steps` writes, syncs and replaces succeed; all later ones
  //! fail with `failure`.
  void FailAfter(std::size_t steps, DiskError failure) {
    this->steps_left = steps;
    this->error = failure;
  }
  //! Returns the bytes of a file, for tests to corrupt.
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
