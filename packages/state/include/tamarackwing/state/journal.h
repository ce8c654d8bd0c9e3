#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/state/disk.h"

namespace tamarackwing::state {

//! Reason why a journal cannot be read or written.
enum class JournalErrorCode {
  //! A corrupt record is followed by an intact one, so it is not a torn tail
  //! left by an interrupted write.
  kDamaged,
  kDiskFull,
  kSyncFailed,
  kDiskFailed,
};

//! An error of a journal and its byte offset in the file.
struct JournalError {
  JournalErrorCode code = JournalErrorCode::kDiskFailed;
  std::uint64_t offset = 0;
};

//! Returns a record framed with its length and checksums (CRC-32C).
//! Thread safety: reentrant.
std::string FrameRecord(std::string_view record);

//! Returns the intact records at the start of a journal's bytes and sets
//! `valid_bytes` to their total length, at which a torn tail begins.
//! Errors: kDamaged. Thread safety: reentrant.
Expected<std::vector<std::string>, JournalError> ReadRecords(
    std::string_view bytes,
    std::uint64_t& valid_bytes);

//! An append-only file of records, which are durable once they are synced.
//! Thread safety: one thread at a time.
class Journal {
 public:
  //! Precondition: `disk` outlives the journal.
  Journal(Disk& disk, std::string name);

  //! Reads all records and truncates a torn tail. A missing file has no
  //! records. Errors: any.
  Expected<std::vector<std::string>, JournalError> Recover();
  //! Appends records and syncs the file. After an error nothing more may be
  //! written. Errors: kDiskFull, kSyncFailed, kDiskFailed.
  Expected<void, JournalError> Append(const std::vector<std::string>& records);
  //! Replaces all records atomically. Errors: kDiskFull, kSyncFailed,
  //! kDiskFailed.
  Expected<void, JournalError> Rewrite(const std::vector<std::string>& records);

 private:
  Disk& disk;
  std::string name;
};

//! Converts a disk error to a journal error, at offset zero.
//! Thread safety: reentrant.
JournalError ToJournalError(DiskError error);

}  // namespace tamarackwing::state
