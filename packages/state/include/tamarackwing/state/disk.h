#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "tamarackwing/base/expected.h"

namespace tamarackwing::state {

//! Reason why a disk operation failed.
enum class DiskError { kNotFound, kFull, kSyncFailed, kOther };

//! Interface to the files of one data folder.
//! Thread safety: one thread at a time.
class Disk {
 public:
  virtual ~Disk() = default;
  //! Returns the contents of a file. Errors: kNotFound, kOther.
  virtual Expected<std::string, DiskError> Read(const std::string& name) = 0;
  //! Appends bytes to a file, which is created if missing. They are durable
  //! once Sync succeeds. Errors: kFull, kOther.
  virtual Expected<void, DiskError> Append(const std::string& name,
                                           std::string_view bytes) = 0;
  //! Makes appended bytes and the file's directory entry durable.
  //! Errors: any but kNotFound.
  virtual Expected<void, DiskError> Sync(const std::string& name) = 0;
  //! Replaces a file atomically and durably: after a failure or a crash it has
  //! either its old or its new contents. Errors: any but kNotFound.
  virtual Expected<void, DiskError> Replace(const std::string& name,
                                            std::string_view bytes) = 0;
  //! Truncates a file to `length` bytes and syncs it. Errors: any but
  //! kNotFound.
  virtual Expected<void, DiskError> Truncate(const std::string& name,
                                             std::uint64_t length) = 0;
};

}  // namespace tamarackwing::state
