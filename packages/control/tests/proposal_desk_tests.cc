#include "tamarackwing/control/proposal_desk.h"

#include <gtest/gtest.h>

namespace tamarackwing::control {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
const HostName kOther("other");

state::LogEntry Entry(LogIndex index, const std::string& payload) {
  state::LogEntry entry;
  entry.index = index;
  entry.payload = payload;
  return entry;
}

TEST(ProposalDesk, AProposalIsSentAgainUntilItIsDone) {
  ProposalDesk desk;
  const std::uint64_t number = desk.Add("change", kStart);
  EXPECT_TRUE(desk.Due(kStart).empty());
  const TimePoint later = kStart + std::chrono::seconds(1);
  EXPECT_EQ(desk.Due(later), std::vector<std::uint64_t>{number});
  EXPECT_TRUE(desk.Due(later).empty());
  desk.SetIndex(number, 4);
  EXPECT_EQ(desk.Finish(Entry(4, "change")),
            std::vector<std::uint64_t>{number});
  EXPECT_FALSE(desk.HasOpen());
}

TEST(ProposalDesk, AnotherEntryAtItsIndexDoesNotEndAProposal) {
  ProposalDesk desk;
  const std::uint64_t number = desk.Add("change", kStart);
  desk.SetIndex(number, 4);
  EXPECT_TRUE(desk.Finish(Entry(4, "of a later leader")).empty());
  EXPECT_TRUE(desk.IsOpen(number));
}

TEST(ProposalDesk, AForwardedProposalIsTakenOnceUntilItIsDone) {
  ProposalDesk desk;
  desk.NoteForwarded(5, {kOther, 9});
  EXPECT_TRUE(desk.IsForwardedOpen({kOther, 9}));
  const auto done = desk.FinishForwarded(5);
  ASSERT_TRUE(done.has_value());
  EXPECT_EQ(done->number, 9U);
  EXPECT_FALSE(desk.IsForwardedOpen({kOther, 9}));
  EXPECT_FALSE(desk.FinishForwarded(5).has_value());
}

TEST(ProposalDesk, ANewTermForgetsWhatOthersSent) {
  ProposalDesk desk;
  desk.NoteForwarded(5, {kOther, 9});
  desk.ForgetForwarded();
  EXPECT_FALSE(desk.IsForwardedOpen({kOther, 9}));
  EXPECT_FALSE(desk.FinishForwarded(5).has_value());
}

}  // namespace
}  // namespace tamarackwing::control
