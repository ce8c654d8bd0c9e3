#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "fake_disk.h"
#include "tamarackwing/state/log_store.h"

namespace tamarackwing::state {
namespace {

LogBatch Entries(LogIndex from, LogIndex to, Term term = 1) {
  LogBatch batch;
  for (LogIndex i = from; i <= to; ++i) {
    LogEntry entry;
    entry.index = i;
    entry.term = term;
    entry.kind = EntryKind::kChange;
    entry.payload = "change " + std::to_string(i);
    batch.entries.push_back(entry);
  }
  batch.commit = to;
  return batch;
}

LogBatch SnapshotAt(LogIndex index) {
  LogBatch batch;
  batch.snapshot = LogSnapshot{index, 1, {HostName("a")}, "state"};
  return batch;
}

TEST(Journal, RecoversRecordsInOrder) {
  FakeDisk disk;
  Journal journal(disk, "j");
  ASSERT_TRUE(journal.Append({"one", "two"}).has_value());
  ASSERT_TRUE(journal.Append({""}).has_value());
  const auto records = Journal(disk, "j").Recover();
  ASSERT_TRUE(records.has_value());
  EXPECT_EQ(*records, (std::vector<std::string>{"one", "two", ""}));
}

TEST(Journal, ATornTailOfAnyLengthIsTruncated) {
  const std::string tail = FrameRecord("second");
  for (std::size_t kept = 0; kept < tail.size(); ++kept) {
    FakeDisk disk;
    Journal journal(disk, "j");
    ASSERT_TRUE(journal.Append({"first"}).has_value());
    ASSERT_TRUE(disk.Append("j", tail.substr(0, kept)).has_value());
    const auto records = journal.Recover();
    ASSERT_TRUE(records.has_value()) << kept;
    EXPECT_EQ(records->size(), 1U);
    ASSERT_TRUE(journal.Append({"third"}).has_value());
    EXPECT_EQ(journal.Recover()->size(), 2U);
  }
}

TEST(Journal, CorruptionOfAnyByteBeforeAnIntactRecordIsReported) {
  const std::size_t first = FrameRecord("first").size();
  for (std::size_t at = 0; at < first; ++at) {
    FakeDisk disk;
    Journal journal(disk, "j");
    ASSERT_TRUE(journal.Append({"first", "second"}).has_value());
    disk.Bytes("j")[at] = static_cast<char>(disk.Bytes("j")[at] ^ 0x40);
    const auto records = journal.Recover();
    ASSERT_FALSE(records.has_value()) << at;
    EXPECT_EQ(records.error().code, JournalErrorCode::kDamaged);
  }
}

RC_GTEST_PROP(Journal,
              ArbitraryBytesAreReadOrRejected,
              (const std::string& bytes)) {
  std::uint64_t valid = 0;
  const auto records = ReadRecords(bytes, valid);
  RC_ASSERT(valid <= bytes.size());
  RC_ASSERT(records.has_value() || valid < bytes.size());
}

TEST(LogStore, RecoversEntriesVoteAndCommitIndex) {
  FakeDisk disk;
  LogStore store(disk);
  ASSERT_TRUE(store.Recover().has_value());
  LogBatch batch = Entries(1, 5);
  batch.vote = VoteRecord{3, HostName("b"), true};
  ASSERT_TRUE(store.Write(batch).has_value());
  LogBatch replaced = Entries(4, 6, 2);
  replaced.truncate_from = 4;
  ASSERT_TRUE(store.Write(replaced).has_value());
  const auto log = LogStore(disk).Recover();
  ASSERT_TRUE(log.has_value());
  EXPECT_EQ(log->vote, (VoteRecord{3, HostName("b"), true}));
  EXPECT_EQ(log->entries.size(), 6U);
  EXPECT_EQ(log->entries[3].term, 2U);
  EXPECT_EQ(log->commit, 6U);
}

// Guards against acknowledgements that wait for a sync of each batch queued
// before them.
TEST(LogStore, QueuedBatchesShareOneSync) {
  FakeDisk disk;
  LogStore store(disk);
  ASSERT_TRUE(store.Recover().has_value());
  std::vector<LogBatch> batches;
  for (LogIndex i = 1; i <= 20; ++i) {
    batches.push_back(Entries(i, i));
  }
  // One write and one sync.
  disk.FailAfter(2, DiskError::kFull);
  ASSERT_TRUE(store.WriteAll(batches).has_value());
  disk.Crash(0);
  const auto log = LogStore(disk).Recover();
  ASSERT_TRUE(log.has_value());
  EXPECT_EQ(log->entries.size(), 20U);
  EXPECT_EQ(log->commit, 20U);
}

//! Returns a batch that may follow a log that ends at `last`, and updates that.
LogBatch AnyBatch(LogIndex& last) {
  LogBatch batch;
  const auto count = *rc::gen::inRange<LogIndex>(0, 4);
  if (*rc::gen::arbitrary<bool>()) {
    batch.truncate_from = *rc::gen::inRange<LogIndex>(1, last + 2);
    last = batch.truncate_from - 1;
  }
  const auto term = *rc::gen::inRange<Term>(1, 9);
  batch.entries = Entries(last + 1, last + count, term).entries;
  last += count;
  if (*rc::gen::arbitrary<bool>()) {
    batch.vote = VoteRecord{term, HostName("b"), false};
  }
  batch.commit = *rc::gen::inRange<LogIndex>(0, last + 1);
  return batch;
}

RC_GTEST_PROP(LogStore, BatchesWrittenTogetherRecoverAsWrittenOneByOne, ()) {
  LogIndex last = 0;
  std::vector<LogBatch> batches;
  const auto count = *rc::gen::inRange(1, 12);
  for (int i = 0; i < count; ++i) {
    batches.push_back(AnyBatch(last));
  }
  FakeDisk disk_one_by_one;
  LogStore one_by_one(disk_one_by_one);
  for (const LogBatch& batch : batches) {
    RC_ASSERT(one_by_one.Write(batch).has_value());
  }
  FakeDisk disk_together;
  LogStore together(disk_together);
  RC_ASSERT(together.WriteAll(batches).has_value());
  const auto expected = one_by_one.Recover();
  const auto found = together.Recover();
  RC_ASSERT(expected.has_value() && found.has_value());
  RC_ASSERT(found->vote == expected->vote);
  RC_ASSERT(found->commit == expected->commit);
  RC_ASSERT(found->entries.size() == expected->entries.size());
  for (std::size_t i = 0; i < found->entries.size(); ++i) {
    RC_ASSERT(found->entries[i].index == expected->entries[i].index);
    RC_ASSERT(found->entries[i].term == expected->entries[i].term);
  }
}

TEST(LogStore, ACrashAtAnyStepOfASnapshotLosesNoCommittedEntry) {
  for (std::size_t step = 0; step < 4; ++step) {
    FakeDisk disk;
    LogStore store(disk);
    ASSERT_TRUE(store.Recover().has_value());
    ASSERT_TRUE(store.Write(Entries(1, 10)).has_value());
    disk.FailAfter(step, DiskError::kFull);
    const bool written = store.Write(SnapshotAt(8)).has_value();
    EXPECT_EQ(written, step >= 2);
    disk.Crash(0);
    const auto log = LogStore(disk).Recover();
    ASSERT_TRUE(log.has_value()) << step;
    const LogIndex last =
        log->entries.empty() ? log->snapshot.index : log->entries.back().index;
    EXPECT_EQ(last, 10U) << step;
  }
}

TEST(LogStore, AFullDiskOrAFailedSyncIsReportedAndLosesNoSyncedEntry) {
  for (const DiskError error : {DiskError::kFull, DiskError::kSyncFailed}) {
    for (std::size_t step = 0; step < 2; ++step) {
      for (const std::size_t kept : {0U, 7U, 1'000U}) {
        FakeDisk disk;
        LogStore store(disk);
        ASSERT_TRUE(store.Recover().has_value());
        ASSERT_TRUE(store.Write(Entries(1, 3)).has_value());
        disk.FailAfter(step, error);
        ASSERT_FALSE(store.Write(Entries(4, 6)).has_value());
        disk.Crash(kept);
        const auto log = LogStore(disk).Recover();
        ASSERT_TRUE(log.has_value());
        EXPECT_GE(log->entries.size(), 3U);
      }
    }
  }
}

}  // namespace
}  // namespace tamarackwing::state
