#include "tamarackwing/state/log_store.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "internal/json_codec.h"

namespace tamarackwing::state {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VoteRecord, term, vote, catching_up)

namespace {

using nlohmann::json;

constexpr const char* kJournalName = "log.journal";
constexpr const char* kSnapshotName = "log.snapshot";

json Bytes(const std::string& text) {
  return json::binary({text.begin(), text.end()});
}

std::string Text(const json& bytes) {
  const auto& binary = bytes.get_binary();
  return {binary.begin(), binary.end()};
}

json ToJson(const LogEntry& entry) {
  return {entry.index, entry.term, entry.kind, Bytes(entry.payload),
          entry.voters};
}

LogEntry ToEntry(const json& value) {
  LogEntry entry;
  value.at(0).get_to(entry.index);
  value.at(1).get_to(entry.term);
  value.at(2).get_to(entry.kind);
  entry.payload = Text(value.at(3));
  value.at(4).get_to(entry.voters);
  return entry;
}

std::string EncodeBatch(const LogBatch& batch) {
  json document;
  if (batch.vote) {
    document["vote"] = *batch.vote;
  }
  document["from"] = batch.truncate_from;
  document["commit"] = batch.commit;
  json entries = json::array();
  for (const LogEntry& entry : batch.entries) {
    entries.push_back(ToJson(entry));
  }
  document["entries"] = std::move(entries);
  std::string bytes;
  json::to_cbor(document, bytes);
  return bytes;
}

std::string EncodeSnapshot(const LogSnapshot& snapshot) {
  const json document = {{"index", snapshot.index},
                         {"term", snapshot.term},
                         {"voters", snapshot.voters},
                         {"state", Bytes(snapshot.state)}};
  std::string bytes;
  json::to_cbor(document, bytes);
  return bytes;
}

void Truncate(std::vector<LogEntry>& entries, LogIndex from) {
  std::erase_if(entries,
                [&](const LogEntry& entry) { return entry.index >= from; });
}

void ApplyBatch(const LogBatch& batch, RecoveredLog& log) {
  log.commit = std::max(log.commit, batch.commit);
  if (batch.vote) {
    log.vote = *batch.vote;
  }
  if (batch.truncate_from != 0) {
    Truncate(log.entries, batch.truncate_from);
  }
  for (const LogEntry& entry : batch.entries) {
    if (entry.index > log.snapshot.index) {
      log.entries.push_back(entry);
    }
  }
}

//! Adds a batch without a snapshot to an earlier one, so that applying the
//! result is the same as applying both.
void Append(const LogBatch& batch, LogBatch& earlier) {
  earlier.commit = std::max(earlier.commit, batch.commit);
  if (batch.vote) {
    earlier.vote = batch.vote;
  }
  if (batch.truncate_from != 0) {
    Truncate(earlier.entries, batch.truncate_from);
    earlier.truncate_from =
        earlier.truncate_from == 0
            ? batch.truncate_from
            : std::min(earlier.truncate_from, batch.truncate_from);
  }
  earlier.entries.insert(earlier.entries.end(), batch.entries.begin(),
                         batch.entries.end());
}

LogBatch DecodeBatch(const json& document) {
  LogBatch batch;
  const auto vote = document.find("vote");
  if (vote != document.end()) {
    batch.vote = vote->get<VoteRecord>();
  }
  document.at("from").get_to(batch.truncate_from);
  document.at("commit").get_to(batch.commit);
  for (const json& entry : document.at("entries")) {
    batch.entries.push_back(ToEntry(entry));
  }
  return batch;
}

JournalError Damaged() {
  return {JournalErrorCode::kDamaged, 0};
}

}  // namespace

LogStore::LogStore(Disk& disk) : disk(disk), journal(disk, kJournalName) {}

Expected<RecoveredLog, JournalError> LogStore::Recover() {
  RecoveredLog log;
  Journal snapshots(this->disk, kSnapshotName);
  const auto snapshot = snapshots.Recover();
  if (!snapshot) {
    return unexpected(snapshot.error());
  }
  try {
    if (!snapshot->empty()) {
      const json document = json::from_cbor(snapshot->front());
      LogSnapshot& found = log.snapshot;
      document.at("index").get_to(found.index);
      document.at("term").get_to(found.term);
      document.at("voters").get_to(found.voters);
      found.state = Text(document.at("state"));
    }
  } catch (const json::exception&) {
    return unexpected(Damaged());
  }
  const auto read = this->ReadJournal(log);
  if (!read) {
    return unexpected(read.error());
  }
  return log;
}

Expected<void, JournalError> LogStore::Write(const LogBatch& batch) {
  if (batch.snapshot) {
    return this->WriteSnapshot(batch);
  }
  return this->journal.Append({EncodeBatch(batch)});
}

Expected<void, JournalError> LogStore::WriteAll(
    const std::vector<LogBatch>& batches) {
  std::optional<LogBatch> merged;
  const auto write_merged = [&]() -> Expected<void, JournalError> {
    const auto batch = std::exchange(merged, std::nullopt);
    return batch ? this->Write(*batch) : Expected<void, JournalError>();
  };
  for (const LogBatch& batch : batches) {
    if (!batch.snapshot) {
      if (merged) {
        Append(batch, *merged);
      } else {
        merged = batch;
      }
      continue;
    }
    auto written = write_merged();
    if (written) {
      written = this->Write(batch);
    }
    if (!written) {
      return written;
    }
  }
  return write_merged();
}

Expected<void, JournalError> LogStore::WriteSnapshot(const LogBatch& batch) {
  Journal snapshots(this->disk, kSnapshotName);
  const auto written = snapshots.Rewrite({EncodeSnapshot(*batch.snapshot)});
  if (!written) {
    return written;
  }
  // The store keeps no copy of the log in memory, so the entries after the
  // snapshot are read back from the journal.
  RecoveredLog log;
  log.snapshot.index = batch.snapshot->index;
  const auto read = this->ReadJournal(log);
  if (!read) {
    return read;
  }
  LogBatch remainder = batch;
  remainder.snapshot.reset();
  ApplyBatch(remainder, log);
  LogBatch compacted;
  compacted.vote = log.vote;
  compacted.entries = std::move(log.entries);
  compacted.commit = log.commit;
  return this->journal.Rewrite({EncodeBatch(compacted)});
}

Expected<void, JournalError> LogStore::ReadJournal(RecoveredLog& log) {
  const auto records = this->journal.Recover();
  if (!records) {
    return unexpected(records.error());
  }
  try {
    for (const std::string& record : *records) {
      ApplyBatch(DecodeBatch(json::from_cbor(record)), log);
    }
  } catch (const json::exception&) {
    return unexpected(Damaged());
  }
  LogIndex next = log.snapshot.index + 1;
  for (const LogEntry& entry : log.entries) {
    if (entry.index != next++) {
      return unexpected(Damaged());
    }
  }
  return {};
}

}  // namespace tamarackwing::state
