#include "disk_thread.h"

#include <utility>
#include <vector>

namespace tamarackwing::daemon {

DiskThread::DiskThread(state::Disk& disk,
                       state::LogStore& store,
                       Callbacks callbacks)
    : store(store),
      ledger(disk, kLedgerJournal),
      callbacks(std::move(callbacks)),
      thread([this] { this->Run(); }) {}

DiskThread::~DiskThread() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  this->thread.join();
}

void DiskThread::Write(state::LogBatch batch) {
  const std::lock_guard lock(this->mutex);
  this->waiting.emplace_back(std::move(batch));
  this->changed.notify_all();
}

void DiskThread::Write(state::LedgerBatch batch) {
  const std::lock_guard lock(this->mutex);
  this->waiting.emplace_back(std::move(batch));
  this->changed.notify_all();
}

void DiskThread::Run() {
  while (true) {
    std::deque<Batch> batches;
    {
      std::unique_lock lock(this->mutex);
      this->changed.wait(
          lock, [this] { return this->stopping || !this->waiting.empty(); });
      if (this->waiting.empty()) {
        return;
      }
      batches.swap(this->waiting);
    }
    if (!this->WriteAll(std::move(batches))) {
      return;
    }
  }
}

bool DiskThread::WriteAll(std::deque<Batch> batches) {
  // What is queued is written together, with a single sync for each journal.
  std::vector<std::string> records;
  std::uint64_t ledger_ticket = 0;
  std::vector<state::LogBatch> log_batches;
  for (Batch& batch : batches) {
    if (const auto* ledger_batch = std::get_if<state::LedgerBatch>(&batch)) {
      records.push_back(state::EncodeLedgerBatch(*ledger_batch));
      ledger_ticket = ledger_batch->ticket;
    } else {
      log_batches.push_back(std::move(std::get<state::LogBatch>(batch)));
    }
  }
  if (!records.empty()) {
    const auto written = this->ledger.Append(records);
    if (!written) {
      this->callbacks.failed(written.error());
      return false;
    }
    this->callbacks.ledger_written(ledger_ticket);
  }
  if (!log_batches.empty()) {
    const auto written = this->store.WriteAll(log_batches);
    if (!written) {
      this->callbacks.failed(written.error());
      return false;
    }
    this->callbacks.log_written(log_batches.back().ticket);
  }
  return true;
}

}  // namespace tamarackwing::daemon
