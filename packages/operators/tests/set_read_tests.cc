#include "tamarackwing/operators/set_read.h"

#include <gtest/gtest.h>

#include <chrono>

namespace tamarackwing::operators {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

TEST(ReadDocument, IsRefusedOnceLeaderContactIsOld) {
  state::Snapshot snapshot;
  snapshot.set_number = 3;
  snapshot.document = std::make_shared<const std::string>("set 3");
  snapshot.leader_contact = kStart;
  EXPECT_EQ(ReadDocument(snapshot, kStart + milliseconds(1'500)),
            snapshot.document);
  EXPECT_EQ(ReadDocument(snapshot, kStart + milliseconds(1'501)), nullptr);
}

TEST(SetReadLog, LogsEachChangeAndElseOneReadASecond) {
  SetReadLog log;
  state::Snapshot snapshot;
  snapshot.set_number = 3;
  EXPECT_TRUE(log.Note(snapshot, true, kStart));
  EXPECT_FALSE(log.Note(snapshot, true, kStart + milliseconds(999)));
  EXPECT_TRUE(log.Note(snapshot, false, kStart + milliseconds(999)));
  snapshot.set_number = 4;
  EXPECT_TRUE(log.Note(snapshot, false, kStart + milliseconds(1'000)));
  EXPECT_FALSE(log.Note(snapshot, false, kStart + milliseconds(1'500)));
  EXPECT_TRUE(log.Note(snapshot, false, kStart + milliseconds(2'000)));
}

}  // namespace
}  // namespace tamarackwing::operators
