#include "tamarackwing/policy/load_board.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kServer = 7;

LoadReport Report(std::uint64_t number, std::vector<ServerUse> uses) {
  LoadReport report;
  report.number = number;
  report.uses = std::move(uses);
  return report;
}

ServerUse Use(std::uint32_t running, TokenCount pending = 0) {
  ServerUse use;
  use.server = kServer;
  use.running = running;
  use.pending_prefill = pending;
  return use;
}

ServerUse Paused(std::uint32_t events, milliseconds sum) {
  ServerUse use;
  use.server = kServer;
  use.pauses = events;
  use.pause_sum = sum;
  return use;
}

class LoadBoardTest : public testing::Test {
 protected:
  ServerUse UseAt(TimePoint now) {
    const LoadSummary summary = this->board.Summarize(1, now);
    const auto use = std::find_if(
        summary.uses.begin(), summary.uses.end(),
        [](const ServerUse& each) { return each.server == kServer; });
    return use == summary.uses.end() ? ServerUse() : *use;
  }

  const HostName a{"a"};
  const HostName b{"b"};
  TimePoint start = TimePoint() + std::chrono::hours(1);
  LoadBoard board;
};

// Guards against a server that looks idle to each of many hosts.
TEST_F(LoadBoardTest, AddsUpAllHosts) {
  this->board.Accept(this->a, Report(1, {Use(3, 100)}), this->start);
  this->board.Accept(this->b, Report(9, {Use(4, 50)}), this->start);
  EXPECT_EQ(this->UseAt(this->start).running, 7U);
  EXPECT_EQ(this->UseAt(this->start).pending_prefill, 150);
  EXPECT_EQ(this->board.Summarize(1, this->start).hosts, 2U);
}

// Guards against load that is counted twice, or is never removed.
TEST_F(LoadBoardTest, ReplacesTheReportOfAHost) {
  this->board.Accept(this->a, Report(1, {Use(3)}), this->start);
  this->board.Accept(this->a, Report(2, {Use(1)}), this->start);
  EXPECT_EQ(this->UseAt(this->start).running, 1U);
  this->board.Accept(this->a, Report(3, {}), this->start);
  EXPECT_EQ(this->UseAt(this->start).running, 0U);
}

// Guards against messages that the network repeats or delivers out of order.
TEST_F(LoadBoardTest, IgnoresRepeatedAndOvertakenReports) {
  this->board.Accept(this->a, Report(5, {Use(3)}), this->start);
  this->board.Accept(this->a, Report(5, {Use(3)}), this->start);
  this->board.Accept(this->a, Report(4, {Use(9)}), this->start);
  EXPECT_EQ(this->UseAt(this->start).running, 3U);
}

// Guards against the load of a host that has stopped or is cut off.
TEST_F(LoadBoardTest, ForgetsSilentHosts) {
  this->board.Accept(this->a, Report(1, {Use(3)}), this->start);
  this->board.Accept(this->b, Report(1, {Use(2)}),
                     this->start + kLoadReportLife / 2);
  EXPECT_EQ(this->UseAt(this->start + kLoadReportLife).running, 2U);
  EXPECT_EQ(this->UseAt(this->start + 2 * kLoadReportLife).running, 0U);
}

// Guards against a server that stays known as slow after it has recovered.
TEST_F(LoadBoardTest, PausesDecay) {
  this->board.Accept(this->a, Report(1, {Paused(100, milliseconds(4'000))}),
                     this->start);
  EXPECT_EQ(this->UseAt(this->start).pauses, 100U);
  const ServerUse later = this->UseAt(this->start + milliseconds(2'000));
  EXPECT_NEAR(later.pauses, 37, 1);
  EXPECT_NEAR(static_cast<double>(later.pause_sum.count()) / later.pauses, 40,
              2);
  EXPECT_EQ(this->UseAt(this->start + std::chrono::seconds(20)).pauses, 0U);
}

}  // namespace
}  // namespace tamarackwing::policy
