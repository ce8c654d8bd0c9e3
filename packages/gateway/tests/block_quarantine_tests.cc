//! Tests of one host's part in quarantining blocks of prompts.

#include "tamarackwing/gateway/block_quarantine.h"

#include <gtest/gtest.h>

#include "tamarackwing/base/metrics.h"

namespace tamarackwing::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr policy::BlockDigest kDeadly = 1;
constexpr policy::BlockDigest kSound = 2;

class BlockQuarantineTest : public testing::Test {
 protected:
  void Quarantine(bool complete = true) {
    policy::QuarantineNotice notice;
    notice.complete = complete;
    notice.quarantined = {{kDeadly, seconds(5), 0}};
    this->quarantine.Accept(notice);
  }

  ManualClock clock;
  Metrics metrics;
  BlockQuarantine quarantine{this->clock, this->metrics};
};

TEST_F(BlockQuarantineTest, RefusesQuarantinedBlocksWithTheTimeOfTheNextTrial) {
  this->Quarantine();
  this->clock.Advance(seconds(2));
  const auto refused = this->quarantine.Check({kSound, kDeadly});
  ASSERT_FALSE(refused.has_value());
  EXPECT_EQ(refused.error().block, kDeadly);
  EXPECT_EQ(refused.error().retry_after, seconds(3));
  EXPECT_EQ(refused.error().age, seconds(2));
  EXPECT_TRUE(this->quarantine.Check({kSound}).has_value());
  const auto report = this->quarantine.MakeReport(false);
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report->refused, std::vector({kDeadly}));
}

TEST_F(BlockQuarantineTest, TrialPermitsOneRequestAndLapses) {
  this->Quarantine();
  policy::QuarantineNotice notice;
  notice.trials = {kDeadly};
  this->quarantine.Accept(notice);
  this->clock.Advance(seconds(2));
  EXPECT_EQ(this->quarantine.Check({kDeadly}).value(), SendPermission::kTrial);
  EXPECT_FALSE(this->quarantine.Check({kDeadly}).has_value());
  this->quarantine.Accept(notice);
  this->clock.Advance(seconds(9));
  EXPECT_FALSE(this->quarantine.Check({kDeadly}).has_value());
}

TEST_F(BlockQuarantineTest, RequestWithTwoQuarantinedBlocksIsNoTrial) {
  policy::QuarantineNotice notice;
  notice.quarantined = {{kDeadly, seconds(0), 0}, {kSound, seconds(0), 0}};
  notice.trials = {kDeadly, kSound};
  this->quarantine.Accept(notice);
  EXPECT_FALSE(this->quarantine.Check({kSound, kDeadly}).has_value());
  EXPECT_EQ(this->quarantine.Check({kSound}).value(), SendPermission::kTrial);
}

TEST_F(BlockQuarantineTest, OnlyACompleteNoticeReleasesBlocks) {
  this->Quarantine();
  this->quarantine.Accept({});
  EXPECT_FALSE(this->quarantine.Check({kDeadly}).has_value());
  policy::QuarantineNotice released;
  released.complete = true;
  this->quarantine.Accept(released);
  EXPECT_EQ(this->quarantine.Check({kDeadly}).value(), SendPermission::kFree);
}

TEST_F(BlockQuarantineTest, ReportsItsQuarantineToANewLeader) {
  this->Quarantine();
  EXPECT_FALSE(this->quarantine.MakeReport(false).has_value());
  const auto report = this->quarantine.MakeReport(true);
  ASSERT_TRUE(report.has_value());
  ASSERT_EQ(report->held.size(), 1U);
  EXPECT_EQ(report->held[0].next_trial, seconds(5));
}

TEST_F(BlockQuarantineTest, LeaderOfANewTermLearnsQuarantineAndCrashes) {
  this->Quarantine();
  this->quarantine.NoteBroken(BackendServerName("i-1"), "a", kSound, {});
  this->clock.Advance(milliseconds(250));
  policy::QuarantineNotice notice;
  notice.complete = true;
  notice.number = this->quarantine.MakeReport(false)->number;
  notice.quarantined = {{kDeadly, seconds(5), 0}};
  this->quarantine.Accept(notice);
  ASSERT_FALSE(this->quarantine.MakeReport(false).has_value());
  // The same host may lead again, and twice within moments.
  for (const std::uint64_t term : {7U, 8U}) {
    policy::QuarantineNotice of_term;
    of_term.term = term;
    this->quarantine.Accept(of_term);
    const auto report = this->quarantine.MakeReport(false);
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(report->held.size(), 1U);
    EXPECT_EQ(report->crashes.size(), 1U);
    of_term.number = report->number;
    this->quarantine.Accept(of_term);
    EXPECT_FALSE(this->quarantine.MakeReport(false).has_value());
    this->clock.Advance(seconds(1));
    const auto repeated = this->quarantine.MakeReport(false);
    ASSERT_TRUE(repeated.has_value());
    EXPECT_EQ(repeated->held.size(), 1U);
    EXPECT_TRUE(repeated->crashes.empty());
  }
}

TEST_F(BlockQuarantineTest, NoticeOfAFormerLeaderIsIgnored) {
  policy::QuarantineNotice notice;
  notice.term = 8;
  notice.complete = true;
  notice.quarantined = {{kDeadly, seconds(5), 0}};
  this->quarantine.Accept(notice);
  policy::QuarantineNotice former;
  former.term = 7;
  former.complete = true;
  this->quarantine.Accept(former);
  EXPECT_FALSE(this->quarantine.Check({kDeadly}).has_value());
  // A leader of a build that names no term is not a former one.
  policy::QuarantineNotice unnamed;
  unnamed.complete = true;
  this->quarantine.Accept(unnamed);
  EXPECT_TRUE(this->quarantine.Check({kDeadly}).has_value());
}

// Guards against a leader that has no time left for heartbeats, because each
// host reports the same refusals several times a second.
TEST_F(BlockQuarantineTest, RefusalsAreReportedOnceASecond) {
  constexpr std::chrono::milliseconds kReportInterval{200};
  this->Quarantine();
  std::size_t reports = 0;
  for (std::chrono::milliseconds passed{0}; passed < seconds(4);
       passed += kReportInterval) {
    EXPECT_FALSE(this->quarantine.Check({kDeadly}).has_value());
    reports += this->quarantine.MakeReport(false).has_value() ? 1U : 0U;
    this->clock.Advance(kReportInterval);
  }
  EXPECT_EQ(reports, 4U);
}

TEST_F(BlockQuarantineTest, HostWithoutLeaderKeepsItsQuarantineForMinutes) {
  this->Quarantine();
  this->clock.Advance(std::chrono::minutes(9));
  this->quarantine.MakeReport(false);
  EXPECT_FALSE(this->quarantine.Check({kDeadly}).has_value());
  this->clock.Advance(std::chrono::minutes(2));
  this->quarantine.MakeReport(false);
  EXPECT_TRUE(this->quarantine.Check({kDeadly}).has_value());
}

}  // namespace
}  // namespace tamarackwing::gateway
