#pragma once

#include <map>

#include "tamarackwing/state/disk.h"

namespace tamarackwing::state {

//! A data folder on a file system.
class PosixDisk final : public Disk {
 public:
  //! Precondition: `folder` exists.
  explicit PosixDisk(std::string folder);
  ~PosixDisk() override;
  PosixDisk(const PosixDisk&) = delete;
  PosixDisk& operator=(const PosixDisk&) = delete;

  Expected<std::string, DiskError> Read(const std::string& name) override;
  Expected<void, DiskError> Append(const std::string& name,
                                   std::string_view bytes) override;
  Expected<void, DiskError> Sync(const std::string& name) override;
  Expected<void, DiskError> Replace(const std::string& name,
                                    std::string_view bytes) override;
  Expected<void, DiskError> Truncate(const std::string& name,
                                     std::uint64_t length) override;

 private:
  struct OpenFile {
    int descriptor = -1;
    //! Whether the folder holds the file's name for good.
    bool is_named = false;
  };

  Expected<OpenFile*, DiskError> Open(const std::string& name);
  Expected<void, DiskError> SyncFolder() const;
  std::string PathOf(const std::string& name) const;
  void Close(const std::string& name);

  std::string folder;
  std::map<std::string, OpenFile> files;
};

}  // namespace tamarackwing::state
