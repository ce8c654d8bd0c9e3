#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/state/disk.h"

namespace tamarackwing::state {

//! Why a journal cannot be read or written.
enum class JournalErrorCode {
  //! A record is damaged and whole ones follow it: not a torn tail.
  kDamaged,
  kDiskFull,
  kSyncFailed,
  kDiskFailed,
};

//! What is wrong with a journal, and where.
struct JournalError {
  JournalErrorCode code = JournalErrorCode::kDiskFailed;
  std::uint64_t offset = 0;
};

//! Frames a record with its length and checksums (CRC-32C).
//! Thread safety: reentrant.
std::string FrameRecord(std::string_view record);

//! Reads the records of a journal's bytes; `valid_bytes` is where a torn tail
//! begins. Errors: kDamaged. Thread safety: reentrant.
Expected<std::vector<std::string>, JournalError> ReadRecords(
    std::string_view bytes,
    std::uint64_t& valid_bytes);

//! A file of records, each of which counts once it is synced.
//! Thread safety: one thread at a time.
class Journal {
 public:
  //! Precondition: `disk` outlives the journal.
  Journal(Disk& disk, std::string name);

  //! Reads all records and cuts a torn tail.
  //! Errors: kDamaged, kDiskFailed.
  Expected<std::vector<std::string>, JournalError> Recover();
  //! Adds records and syncs. After an error nothing more may be written.
  Expected<void, JournalError> Append(const std::vector<std::string>& records);
  //! Puts other records in place of all.
  Expected<void, JournalError> Rewrite(const std::vector<std::string>& records);

 private:
  Disk& disk;
  std::string name;
};

//! The journal error that a disk error comes to. Thread safety: reentrant.
JournalError ToJournalError(DiskError error);

}  // namespace tamarackwing::state
