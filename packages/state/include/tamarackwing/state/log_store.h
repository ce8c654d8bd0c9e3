#pragma once

#include <vector>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/state/agreed_log.h"
#include "tamarackwing/state/journal.h"

namespace tamarackwing::state {

//! Stores the agreed log on disk: a snapshot file and a journal of the batches
//! written since.
//! Thread safety: one thread at a time.
class LogStore {
 public:
  //! Precondition: `disk` outlives the store.
  explicit LogStore(Disk& disk);

  //! Reads the stored log; empty if there is none. Errors: as for
  //! Journal::Recover.
  Expected<RecoveredLog, JournalError> Recover();
  //! Writes a batch; it is durable on return. A new snapshot is durable before
  //! the journal records that it replaces are removed. Errors: as for
  //! Journal::Append.
  Expected<void, JournalError> Write(const LogBatch& batch);
  //! Writes batches, in order, with as few syncs as possible; they are durable
  //! on return. Errors: as for Write; some of the batches may be durable then.
  Expected<void, JournalError> WriteAll(const std::vector<LogBatch>& batches);

 private:
  Expected<void, JournalError> WriteSnapshot(const LogBatch& batch);

  //! Reads the journal into `log`, skipping entries covered by the snapshot.
  Expected<void, JournalError> ReadJournal(RecoveredLog& log);

  Disk& disk;
  Journal journal;
};

}  // namespace tamarackwing::state
