#include "tamarackwing/control/server_relay.h"

#include <gtest/gtest.h>

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

policy::ServerReport Report(const std::string& name, bool leaving) {
  policy::ServerReport report;
  report.name = BackendServerName(name);
  report.region = RegionName("muscat");
  report.address = "10.0.0.1";
  report.started = milliseconds(100);
  report.leaving = leaving;
  return report;
}

class ServerRelayTest : public testing::Test {
 protected:
  std::size_t DueCount() {
    std::size_t count = 0;
    for (const auto& [region, reports] : this->relay.Due(this->clock.Now())) {
      count += reports.size();
    }
    return count;
  }

  ControlOptions options;
  ServerRelay relay{ControlOptions()};
  ManualClock clock;
};

TEST_F(ServerRelayTest, ReportIsSentOnce) {
  EXPECT_FALSE(this->relay.AddReport(Report("x", false), this->clock.Now()));
  EXPECT_EQ(this->DueCount(), 1U);
  EXPECT_EQ(this->DueCount(), 0U);
}

TEST_F(ServerRelayTest, LeavingReportIsSentAtOnceAndRepeated) {
  EXPECT_TRUE(this->relay.AddReport(Report("x", true), this->clock.Now()));
  std::size_t sent = 0;
  for (int i = 0; i < 100; ++i) {
    sent += this->DueCount();
    this->clock.Advance(milliseconds(100));
  }
  EXPECT_EQ(sent, 8U);
}

TEST_F(ServerRelayTest, LeavingReportReplacesWaitingReport) {
  this->relay.AddReport(Report("x", false), this->clock.Now());
  this->relay.AddReport(Report("x", true), this->clock.Now());
  const auto due = this->relay.Due(this->clock.Now());
  ASSERT_EQ(due.size(), 1U);
  ASSERT_EQ(due.begin()->second.size(), 1U);
  EXPECT_TRUE(due.begin()->second.front().leaving);
}

TEST_F(ServerRelayTest, LeavingReportWithNameOnlyGoesToAllRegions) {
  policy::ServerReport left;
  left.name = BackendServerName("x");
  left.leaving = true;
  this->relay.AddReport(left, this->clock.Now());
  const auto due = this->relay.Due(this->clock.Now());
  ASSERT_EQ(due.size(), 1U);
  EXPECT_TRUE(due.begin()->first.IsEmpty());
}

TEST_F(ServerRelayTest, ReportOfRestartedServerEndsItsLeavingReport) {
  this->relay.AddReport(Report("x", true), this->clock.Now());
  this->DueCount();
  policy::ServerReport started = Report("x", false);
  started.started = milliseconds(200);
  this->relay.AddReport(started, this->clock.Now());
  this->clock.Advance(this->options.leaving_resend_every);
  const auto due = this->relay.Due(this->clock.Now());
  ASSERT_EQ(due.begin()->second.size(), 1U);
  EXPECT_FALSE(due.begin()->second.front().leaving);
}

}  // namespace
}  // namespace tamarackwing::control
