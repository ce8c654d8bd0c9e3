//! Tests of what one host concludes from broken connections and answers.

#include "tamarackwing/policy/crash_observer.h"

#include <gtest/gtest.h>

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;

constexpr BlockDigest kShared = 1;
constexpr BlockDigest kOther = 2;

class CrashObserverTest : public testing::Test {
 protected:
  CrashReport Report() {
    CrashReport report;
    report.number = ++this->number;
    this->observer.AddTo(report, this->now);
    return report;
  }

  void Wait(milliseconds time) { this->now += time; }

  CrashObserver observer{CrashObserverOptions()};
  const BackendServerName server{"i-1"};
  TimePoint now{std::chrono::hours(1)};
  std::uint64_t number = 0;
};

TEST_F(CrashObserverTest, ReportsCrashWithItsSuspectsUntilAcknowledged) {
  this->observer.NoteBroken(this->server, 7, {kShared}, this->now);
  this->observer.NoteBroken(this->server, 8, {kShared, kOther}, this->now);
  EXPECT_TRUE(this->Report().crashes.empty());
  this->Wait(milliseconds(250));
  const CrashReport report = this->Report();
  ASSERT_EQ(report.crashes.size(), 1U);
  EXPECT_EQ(report.crashes[0].server, this->server);
  EXPECT_EQ(report.crashes[0].age, milliseconds(250));
  EXPECT_EQ(report.crashes[0].suspects.size(), 3U);
  this->Wait(CrashObserverOptions().repeat_interval);
  EXPECT_EQ(this->Report().crashes.size(), 1U);
  EXPECT_TRUE(this->Report().crashes.empty()) << "too soon to be repeated";
  this->observer.Acknowledge(report.number - 1);
  this->observer.Acknowledge(this->number);
  this->Wait(CrashObserverOptions().repeat_interval);
  EXPECT_EQ(this->Report().crashes.size(), 1U)
      << "the acknowledged reports did not contain it";
  this->observer.Acknowledge(report.number);
  this->Wait(CrashObserverOptions().repeat_interval);
  EXPECT_TRUE(this->Report().crashes.empty());
}

// Guards against crashes that are reported for ever, because each
// acknowledgement arrives after the next report was sent.
TEST_F(CrashObserverTest, LateAcknowledgementEndsTheRepetition) {
  this->observer.NoteBroken(this->server, 7, {kShared}, this->now);
  this->Wait(milliseconds(250));
  const std::uint64_t first = this->Report().number;
  for (int i = 0; i < 5; ++i) {
    this->Wait(CrashObserverOptions().repeat_interval);
    EXPECT_EQ(this->Report().crashes.size(), 1U);
  }
  this->observer.Acknowledge(first);
  this->Wait(CrashObserverOptions().repeat_interval);
  EXPECT_TRUE(this->Report().crashes.empty());
  // What an earlier leader acknowledged says nothing of a new one.
  this->observer.ReportAgain();
  this->observer.Acknowledge(this->number);
  EXPECT_EQ(this->Report().crashes.size(), 1U);
}

TEST_F(CrashObserverTest, RequestWithoutBlocksIsASuspectOfTheCrash) {
  this->observer.NoteBroken(this->server, 7, {}, this->now);
  this->observer.NoteBroken(this->server, 8, {}, this->now);
  this->observer.NoteBroken(this->server, 7, {}, this->now);
  this->Wait(milliseconds(250));
  const CrashReport report = this->Report();
  ASSERT_EQ(report.crashes.size(), 1U);
  EXPECT_EQ(report.crashes[0].requests, std::vector<BlockDigest>({7, 8}));
}

TEST_F(CrashObserverTest, CrashesAreReportedAgainToANewLeader) {
  this->observer.NoteBroken(this->server, 7, {}, this->now);
  this->Wait(milliseconds(250));
  ASSERT_EQ(this->Report().crashes.size(), 1U);
  this->observer.Acknowledge(this->number);
  ASSERT_TRUE(this->Report().crashes.empty());
  this->observer.ReportAgain();
  EXPECT_EQ(this->Report().crashes.size(), 1U);
  this->observer.Acknowledge(this->number);
  this->Wait(CrashObserverOptions().kept);
  this->Report();
  this->observer.ReportAgain();
  EXPECT_TRUE(this->Report().crashes.empty());
}

TEST_F(CrashObserverTest, ConnectionsLostWithTheHostsLinksAreNoCrashes) {
  this->observer.NoteBroken(this->server, 7, {kShared}, this->now);
  this->Wait(milliseconds(250));
  ASSERT_EQ(this->Report().crashes.size(), 1U);
  for (const char* other : {"i-2", "i-3", "i-4"}) {
    this->observer.NoteBroken(BackendServerName(other), 8, {kShared},
                              this->now);
  }
  this->Wait(milliseconds(150));
  this->observer.DropUnreported();
  this->Wait(CrashObserverOptions().repeat_interval);
  const CrashReport report = this->Report();
  ASSERT_EQ(report.crashes.size(), 1U);
  EXPECT_EQ(report.crashes[0].server, this->server);
}

TEST_F(CrashObserverTest, ServerThatSendsAfterABrokenConnectionHasNotCrashed) {
  this->observer.NoteBroken(this->server, 7, {kShared}, this->now);
  this->Wait(milliseconds(120));
  this->observer.NoteAlive(this->server, this->now);
  this->Wait(milliseconds(250));
  EXPECT_TRUE(this->Report().crashes.empty());
}

TEST_F(CrashObserverTest, BytesSentBeforeTheCrashDoNotDisproveIt) {
  this->observer.NoteBroken(this->server, 7, {kShared}, this->now);
  this->Wait(milliseconds(10));
  this->observer.NoteAlive(this->server, this->now);
  this->observer.NoteAlive(BackendServerName("i-2"), this->now);
  this->Wait(milliseconds(250));
  EXPECT_EQ(this->Report().crashes.size(), 1U);
}

TEST_F(CrashObserverTest, RecentlyAnsweredBlocksAreNoSuspects) {
  this->observer.NoteAnswered({kShared}, this->now);
  this->Wait(milliseconds(500));
  this->observer.NoteBroken(this->server, 7, {kShared, kOther}, this->now);
  this->Wait(milliseconds(250));
  const CrashReport report = this->Report();
  ASSERT_EQ(report.crashes.size(), 1U);
  ASSERT_EQ(report.crashes[0].suspects.size(), 1U);
  EXPECT_EQ(report.crashes[0].suspects[0].block, kOther);
}

TEST_F(CrashObserverTest, ReportsAnswersToWatchedBlocks) {
  this->observer.NoteAnswered({kShared, kOther}, this->now);
  this->Wait(std::chrono::seconds(60));
  this->observer.Watch({kShared});
  const CrashReport first = this->Report();
  ASSERT_EQ(first.answered.size(), 1U);
  EXPECT_EQ(first.answered[0].block, kShared);
  EXPECT_EQ(first.answered[0].age, std::chrono::seconds(60));
  EXPECT_TRUE(this->Report().answered.empty());
  this->observer.NoteAnswered({kShared}, this->now);
  this->Wait(CrashObserverOptions().repeat_interval);
  EXPECT_EQ(this->Report().answered.size(), 1U);
  this->Wait(CrashObserverOptions().repeat_interval);
  EXPECT_EQ(this->Report().answered.size(), 1U) << "the first may be lost";
  this->Wait(CrashObserverOptions().repeat_interval);
  EXPECT_TRUE(this->Report().answered.empty());
}

// Guards against a leader that never regains its lease, because all hosts
// repeat several times a second what it cannot acknowledge without one.
TEST_F(CrashObserverTest, CrashesAreReportedOnceASecond) {
  constexpr milliseconds kReportInterval{200};
  this->observer.NoteBroken(BackendServerName("i-1"), 1, {kShared}, this->now);
  this->Wait(std::chrono::seconds(1));
  std::size_t reports = 0;
  for (milliseconds passed{0}; passed < std::chrono::seconds(10);
       passed += kReportInterval) {
    reports += this->Report().crashes.size();
    this->Wait(kReportInterval);
  }
  EXPECT_EQ(reports, 10U);
  this->observer.ReportAgain();
  EXPECT_EQ(this->Report().crashes.size(), 1U) << "at once to a new leader";
}

// Guards against a leader that has no time left for heartbeats, because each
// host reports the same answers several times a second.
TEST_F(CrashObserverTest, AnswersAreReportedOnceASecond) {
  constexpr milliseconds kReportInterval{200};
  this->observer.Watch({kShared});
  std::size_t reports = 0;
  for (milliseconds passed{0}; passed < std::chrono::seconds(10);
       passed += kReportInterval) {
    this->observer.NoteAnswered({kShared}, this->now);
    reports += this->Report().answered.size();
    this->Wait(kReportInterval);
  }
  EXPECT_EQ(reports, 10U);
}

TEST_F(CrashObserverTest, MemoryIsBoundedHoweverManyServersAndBlocksThereAre) {
  const CrashObserverOptions options;
  for (std::uint64_t i = 0; i < 100'000; ++i) {
    this->now += milliseconds(1);
    this->observer.NoteAnswered({1'000'000 + i}, this->now);
  }
  for (std::uint64_t i = 0; i < 1'000; ++i) {
    for (std::uint64_t block = 0; block < 100; ++block) {
      this->observer.NoteBroken(BackendServerName("i-" + std::to_string(i)), i,
                                {block + 1}, this->now);
    }
  }
  this->Wait(milliseconds(250));
  const CrashReport report = this->Report();
  EXPECT_EQ(report.crashes.size(), options.crashes);
  for (const ServerCrash& crash : report.crashes) {
    EXPECT_EQ(crash.suspects.size(), options.suspects);
  }
  EXPECT_LE(this->observer.RememberedAnswers(), 2 * options.answers);
}

}  // namespace
}  // namespace tamarackwing::policy
