#pragma once

#include <vector>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/state/agreed_log.h"
#include "tamarackwing/state/journal.h"

namespace tamarackwing::state {

//! The agreed log on a disk: a snapshot file and a journal of what followed.
//! Thread safety: one thread at a time.
class LogStore {
 public:
  //! Precondition: `disk` outlives the store.
  explicit LogStore(Disk& disk);

  //! Reads what is there. Errors: as for Journal::Recover.
  Expected<RecoveredLog, JournalError> Recover();
  //! Writes a batch; it lasts when this returns. A new snapshot is in place
  //! before the records that it replaces go.
  Expected<void, JournalError> Write(const LogBatch& batch);

 private:
  Expected<void, JournalError> WriteSnapshot(const LogBatch& batch);

  //! Reads what follows the snapshot in `log`.
  Expected<void, JournalError> ReadJournal(RecoveredLog& log);

  Disk& disk;
  Journal journal;
};

}  // namespace tamarackwing::state
