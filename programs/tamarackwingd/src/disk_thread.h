#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <variant>

#include "tamarackwing/state/agreed_log.h"
#include "tamarackwing/state/disk.h"
#include "tamarackwing/state/journal.h"
#include "tamarackwing/state/log_store.h"
#include "tamarackwing/state/operation_ledger.h"

namespace tamarackwing::daemon {

//! Writes batches to the disk on a thread of its own, so that the control
//! thread never waits for the disk. Log batches are written in order, and so
//! are ledger batches. Thread safety: every method is callable from any thread.
class DiskThread {
 public:
  //! Called on the disk thread. `log_written` and `ledger_written` get the
  //! ticket up to which all log batches or all ledger batches are on disk.
  struct Callbacks {
    std::function<void(std::uint64_t)> log_written;
    std::function<void(std::uint64_t)> ledger_written;
    //! The disk has failed; no further batch is written.
    std::function<void(state::JournalError)> failed;
  };

  //! Preconditions: `disk` and `store` outlive the thread; `store` has
  //! recovered.
  DiskThread(state::Disk& disk, state::LogStore& store, Callbacks callbacks);
  //! Writes the queued batches, unless the disk has failed, and stops the
  //! thread.
  ~DiskThread();
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;

  void Write(state::LogBatch batch);
  void Write(state::LedgerBatch batch);

 private:
  using Batch = std::variant<state::LogBatch, state::LedgerBatch>;

  void Run();
  bool WriteAll(std::deque<Batch> batches);

  state::LogStore& store;
  state::Journal ledger;
  Callbacks callbacks;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Batch> waiting;
  bool stopping = false;
  std::thread thread;
};

//! File name of the ledger's journal.
inline constexpr const char* kLedgerJournal = "ledger.journal";

}  // namespace tamarackwing::daemon
