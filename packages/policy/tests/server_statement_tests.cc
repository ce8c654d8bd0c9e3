//! Tests of servers that say in their answers that they shut down, or that they
//! want no requests for a while.

#include "tamarackwing/policy/server_statement.h"

#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <string>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/policy/server_table.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStarted{1'700'000};

ServerReport Report(const std::string& name) {
  ServerReport report;
  report.name = BackendServerName(name);
  report.address = name;
  report.port = 80;
  report.targets = {"drafter"};
  report.slots = 4;
  report.started = kStarted;
  return report;
}

ServerStatement Leaving() {
  ServerStatement statement;
  statement.leaving = true;
  return statement;
}

ServerStatement Pause(milliseconds pause) {
  ServerStatement statement;
  statement.acceptance = Acceptance::kRejected;
  statement.pause = pause;
  return statement;
}

class ServerStatementTest : public testing::Test {
 protected:
  std::optional<ServerChoice> Choose(ServerTable& at) {
    ServerQuery query;
    query.target = "drafter";
    return at.Pick(query, this->now, this->random);
  }
  std::optional<ServerChoice> Choose() { return this->Choose(this->table); }
  StatementChanges Note(const ServerChoice& server,
                        const ServerStatement& statement) {
    return this->table.NoteStatement(server, statement, this->now,
                                     this->random);
  }

  TimePoint now{seconds(100)};
  SeededRandom random{1};
  ServerTable table{ServerTableLimits()};
};

TEST_F(ServerStatementTest,
       ServerThatSaidItLeavesGetsNothingWhateverItReports) {
  ServerReport report = Report("x");
  this->table.Announce(report, this->now);
  const ServerChoice chosen = this->Choose().value();
  EXPECT_TRUE(this->Note(chosen, Leaving()).leaving);
  EXPECT_FALSE(this->Note(chosen, Leaving()).leaving);
  EXPECT_FALSE(this->table.MaySendTo(chosen, this->now));
  // It goes on reporting that it is ready, for longer than a lease.
  for (int i = 0; i < 200; ++i) {
    this->now += seconds(1);
    report.sequence += 1;
    this->table.Announce(report, this->now);
    EXPECT_FALSE(this->Choose().has_value()) << i << " s later";
    EXPECT_TRUE(this->table.IsLeaving(chosen.name));
    this->table.Expire(this->now);
  }
  // Another process has the name.
  report.started += milliseconds(1);
  this->table.Announce(report, this->now);
  EXPECT_TRUE(this->Choose().has_value());
  EXPECT_FALSE(this->table.IsLeaving(chosen.name));
}

TEST_F(ServerStatementTest, LateReportDoesNotBringBackAServerThatDeregistered) {
  this->table.Announce(Report("x"), this->now);
  ServerReport leave;
  leave.name = BackendServerName("x");
  leave.leaving = true;
  leave.started = kStarted;
  this->table.Announce(leave, this->now);
  this->now += ServerTableLimits().lease;
  this->table.Expire(this->now);
  ASSERT_EQ(this->table.Count(), 0U);
  this->table.Announce(Report("x"), this->now);
  EXPECT_FALSE(this->Choose().has_value());
}

TEST_F(ServerStatementTest, AnswerOfAnEarlierProcessSaysNothingOfTheNextOne) {
  ServerReport report = Report("x");
  this->table.Announce(report, this->now);
  const ServerChoice earlier = this->Choose().value();
  report.started += milliseconds(1);
  this->table.Announce(report, this->now);
  EXPECT_FALSE(this->Note(earlier, Leaving()).leaving);
  this->Note(earlier, Pause(seconds(5)));
  EXPECT_TRUE(this->Choose().has_value());
  this->now += seconds(1);
  this->table.Announce(report, this->now);
  EXPECT_TRUE(this->Choose().has_value());
}

TEST_F(ServerStatementTest, ProcessesThatLeftAreForgotten) {
  ServerReport report = Report("x");
  this->table.Announce(report, this->now);
  this->Note(this->Choose().value(), Leaving());
  this->now += seconds(100);
  this->table.Expire(this->now);
  EXPECT_FALSE(this->table.IsLeaving(report.name));
}

TEST_F(ServerStatementTest, PausedServerGetsNothingThenOneRequest) {
  ServerReport report = Report("x");
  this->table.Announce(report, this->now);
  const ServerChoice chosen = this->Choose().value();
  const auto changes = this->Note(chosen, Pause(seconds(2)));
  ASSERT_TRUE(changes.paused_until.has_value());
  EXPECT_GE(*changes.paused_until, this->now + seconds(2));
  EXPECT_LE(*changes.paused_until, this->now + milliseconds(2'500));
  // A shorter time that is named later does not shorten the pause.
  this->Note(chosen, Pause(milliseconds(10)));
  const TimePoint start = this->now;
  for (; this->now < start + seconds(2); this->now += milliseconds(10)) {
    this->table.Announce(report, this->now);
    EXPECT_FALSE(this->Choose().has_value());
    EXPECT_FALSE(this->table.MaySendTo(chosen, this->now));
    EXPECT_GE(this->table.NextAllowance("drafter", this->now),
              start + seconds(2) - this->now);
  }
  this->now = *changes.paused_until;
  this->table.Announce(report, this->now);
  EXPECT_TRUE(this->table.MaySendTo(chosen, this->now));
  ASSERT_TRUE(this->Choose().has_value());
  this->table.NoteSent(chosen.name, 0, this->now);
  EXPECT_FALSE(this->Choose().has_value());
  this->Note(chosen, ServerStatement());
  EXPECT_TRUE(this->Choose().has_value());
}

TEST_F(ServerStatementTest, PauseOutlivesTheLeaseOfItsServer) {
  ServerReport report = Report("x");
  this->table.Announce(report, this->now);
  const ServerChoice chosen = this->Choose().value();
  const TimePoint until =
      this->Note(chosen, Pause(seconds(60))).paused_until.value();
  this->now += seconds(30);
  this->table.Expire(this->now);
  ASSERT_EQ(this->table.Count(), 0U);
  EXPECT_FALSE(this->table.MaySendTo(chosen, this->now));
  // Its reports come through again.
  this->table.Announce(report, this->now);
  EXPECT_FALSE(this->Choose().has_value());
  this->now = until;
  this->table.Announce(report, this->now);
  EXPECT_TRUE(this->Choose().has_value());
  // Another process under the name has asked for nothing.
  this->Note(this->Choose().value(), Pause(seconds(60)));
  this->now += seconds(30);
  this->table.Expire(this->now);
  report.started += milliseconds(1);
  this->table.Announce(report, this->now);
  EXPECT_TRUE(this->Choose().has_value());
}

TEST_F(ServerStatementTest, PauseIsNoFailureAndItsCapacityIsNotCounted) {
  this->table.Announce(Report("x"), this->now);
  this->table.Announce(Report("y"), this->now);
  this->now += ServerTableLimits().ramp;
  this->table.Announce(Report("x"), this->now);
  this->table.Announce(Report("y"), this->now);
  ASSERT_EQ(this->table.Slots("drafter", this->now), 8U);
  const ServerChoice chosen = this->Choose().value();
  this->table.NoteSent(chosen.name, 0, this->now);
  const auto changes = this->Note(chosen, Pause(milliseconds(400)));
  this->table.NoteFinished(chosen.name, HealthSignal::kAnswered, this->now,
                           this->now);
  EXPECT_EQ(this->table.Slots("drafter", this->now), 4U);
  EXPECT_EQ(this->table.LoadOf("drafter", this->now).servers, 1U);
  EXPECT_EQ(this->table.Endpoints(this->now).size(), 2U);
  this->now = changes.paused_until.value();
  EXPECT_EQ(this->table.Slots("drafter", this->now), 8U);
}

TEST_F(ServerStatementTest, CallIsServedByServersThatAskForNoPause) {
  for (int i = 0; i < 30; ++i) {
    this->table.Announce(Report("s-" + std::to_string(i)), this->now);
  }
  // All but one ask for a pause.
  for (int i = 0; i < 29; ++i) {
    this->Note(this->Choose().value(), Pause(seconds(2)));
  }
  const ServerChoice last = this->Choose().value();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(this->Choose().value().name, last.name);
  }
  this->Note(last, Pause(seconds(1)));
  EXPECT_FALSE(this->Choose().has_value());
  // The first that returns.
  const auto wait = this->table.NextAllowance("drafter", this->now);
  ASSERT_TRUE(wait.has_value());
  EXPECT_GE(*wait, seconds(1));
  EXPECT_LE(*wait, milliseconds(1'250));
}

TEST_F(ServerStatementTest, HostsSentAwayTogetherDoNotReturnTogether) {
  constexpr int kHosts = 50;
  // A quarter of the pause.
  constexpr milliseconds kSpread{500};
  constexpr int kParts = 5;
  std::set<int> parts;
  for (int i = 0; i < kHosts; ++i) {
    ServerTable host{ServerTableLimits()};
    SeededRandom own_random(static_cast<std::uint64_t>(i));
    host.Announce(Report("x"), this->now);
    const ServerChoice chosen = this->Choose(host).value();
    const TimePoint until =
        host.NoteStatement(chosen, Pause(seconds(2)), this->now, own_random)
            .paused_until.value();
    const Duration extra = until - this->now - seconds(2);
    EXPECT_GE(extra, Duration::zero());
    EXPECT_LE(extra, kSpread);
    parts.insert(static_cast<int>(extra * kParts / (kSpread + Duration(1))));
  }
  // Some hosts return in each part of the spread.
  EXPECT_EQ(parts.size(), static_cast<std::size_t>(kParts));
}

}  // namespace
}  // namespace tamarackwing::policy
