#pragma once

#include <map>

#include "tamarackwing/state/disk.h"

namespace tamarackwing::state {

//! Disk that stores its files in one folder of the file system.
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
    //! Whether the folder was synced since the file was opened, so that the
    //! file's directory entry is durable.
    bool is_entry_synced = false;
  };

  Expected<OpenFile*, DiskError> Open(const std::string& name);
  Expected<void, DiskError> SyncFolder() const;
  std::string PathOf(const std::string& name) const;
  void Close(const std::string& name);

  std::string folder;
  std::map<std::string, OpenFile> files;
};

}  // namespace tamarackwing::state
