#include "tamarackwing/state/posix_disk.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <utility>

namespace tamarackwing::state {
namespace {

constexpr int kFileMode = 0600;

Expected<void, DiskError> WriteAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return unexpected(errno == ENOSPC ? DiskError::kFull : DiskError::kOther);
    }
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

}  // namespace

PosixDisk::PosixDisk(std::string folder) : folder(std::move(folder)) {}

PosixDisk::~PosixDisk() {
  for (const auto& [name, file] : this->files) {
    ::close(file.descriptor);
  }
}

Expected<std::string, DiskError> PosixDisk::Read(const std::string& name) {
  const std::ifstream file(this->PathOf(name), std::ios::binary);
  if (!file) {
    return unexpected(errno == ENOENT ? DiskError::kNotFound
                                      : DiskError::kOther);
  }
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

Expected<void, DiskError> PosixDisk::Append(const std::string& name,
                                            std::string_view bytes) {
  const auto file = this->Open(name);
  if (!file) {
    return unexpected(file.error());
  }
  return WriteAll((*file)->descriptor, bytes);
}

Expected<void, DiskError> PosixDisk::Sync(const std::string& name) {
  const auto file = this->Open(name);
  if (!file) {
    return unexpected(file.error());
  }
  if (::fdatasync((*file)->descriptor) != 0) {
    return unexpected(DiskError::kSyncFailed);
  }
  if (!(*file)->is_entry_synced) {
    const auto synced = this->SyncFolder();
    if (!synced) {
      return synced;
    }
    (*file)->is_entry_synced = true;
  }
  return {};
}

Expected<void, DiskError> PosixDisk::Replace(const std::string& name,
                                             std::string_view bytes) {
  const std::string temporary = this->PathOf(name + ".tmp");
  const int descriptor = ::open(
      temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    return unexpected(DiskError::kOther);
  }
  auto written = WriteAll(descriptor, bytes);
  if (written && ::fsync(descriptor) != 0) {
    written = unexpected(DiskError::kSyncFailed);
  }
  ::close(descriptor);
  if (!written) {
    return written;
  }
  this->Close(name);
  if (::rename(temporary.c_str(), this->PathOf(name).c_str()) != 0) {
    return unexpected(DiskError::kOther);
  }
  return this->SyncFolder();
}

Expected<void, DiskError> PosixDisk::Truncate(const std::string& name,
                                              std::uint64_t length) {
  const auto file = this->Open(name);
  if (!file) {
    return unexpected(file.error());
  }
  if (::ftruncate((*file)->descriptor, static_cast<off_t>(length)) != 0) {
    return unexpected(DiskError::kOther);
  }
  return this->Sync(name);
}

Expected<PosixDisk::OpenFile*, DiskError> PosixDisk::Open(
    const std::string& name) {
  const auto known = this->files.find(name);
  if (known != this->files.end()) {
    return &known->second;
  }
  const int descriptor =
      ::open(this->PathOf(name).c_str(),
             O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    return unexpected(errno == ENOSPC ? DiskError::kFull : DiskError::kOther);
  }
  return &this->files.emplace(name, OpenFile{descriptor, false}).first->second;
}

Expected<void, DiskError> PosixDisk::SyncFolder() const {
  const int descriptor =
      ::open(this->folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return unexpected(DiskError::kOther);
  }
  const int result = ::fsync(descriptor);
  ::close(descriptor);
  if (result != 0) {
    return unexpected(DiskError::kSyncFailed);
  }
  return {};
}

std::string PosixDisk::PathOf(const std::string& name) const {
  return this->folder + "/" + name;
}

void PosixDisk::Close(const std::string& name) {
  const auto file = this->files.find(name);
  if (file != this->files.end()) {
    ::close(file->second.descriptor);
    this->files.erase(file);
  }
}

}  // namespace tamarackwing::state
