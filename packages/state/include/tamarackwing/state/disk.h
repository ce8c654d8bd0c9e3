#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "tamarackwing/base/expected.h"

namespace tamarackwing::state {

//! What a disk refused.
enum class DiskError { kNotFound, kFull, kSyncFailed, kOther };

//! Interface: the files of one data folder.
//! Thread safety: one thread at a time.
class Disk {
 public:
  virtual ~Disk() = default;
  //! All bytes of a file. Errors: kNotFound, kOther.
  virtual Expected<std::string, DiskError> Read(const std::string& name) = 0;
  //! Adds bytes to a file, made where it is missing; they last once synced.
  virtual Expected<void, DiskError> Append(const std::string& name,
                                           std::string_view bytes) = 0;
  //! Makes what was appended last, the file's name included.
  virtual Expected<void, DiskError> Sync(const std::string& name) = 0;
  //! Puts a whole file in place of an old one, or leaves the old one.
  virtual Expected<void, DiskError> Replace(const std::string& name,
                                            std::string_view bytes) = 0;
  //! Cuts a file to a length.
  virtual Expected<void, DiskError> Truncate(const std::string& name,
                                             std::uint64_t length) = 0;
};

}  // namespace tamarackwing::state
