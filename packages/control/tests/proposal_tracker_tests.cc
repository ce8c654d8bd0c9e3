#include "tamarackwing/control/proposal_tracker.h"

#include <gtest/gtest.h>

namespace tamarackwing::control {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
const HostName kOther("other");

constexpr Term kTerm = 3;

state::LogEntry Entry(LogIndex index,
                      const std::string& payload,
                      Term term = kTerm) {
  state::LogEntry entry;
  entry.index = index;
  entry.term = term;
  entry.payload = payload;
  return entry;
}

TEST(ProposalTracker, ProposalIsSentAgainUntilApplied) {
  ProposalTracker tracker;
  const std::uint64_t number = tracker.Add("change", kStart);
  EXPECT_TRUE(tracker.Due(kStart).empty());
  const TimePoint later = kStart + std::chrono::seconds(1);
  EXPECT_EQ(tracker.Due(later), std::vector<std::uint64_t>{number});
  EXPECT_TRUE(tracker.Due(later).empty());
  tracker.SetIndex(number, 4);
  EXPECT_EQ(tracker.Finish(Entry(4, "change")),
            std::vector<std::uint64_t>{number});
  EXPECT_FALSE(tracker.HasOpen());
}

TEST(ProposalTracker, OtherEntryAtSameIndexDoesNotCompleteProposal) {
  ProposalTracker tracker;
  const std::uint64_t number = tracker.Add("change", kStart);
  tracker.SetIndex(number, 4);
  EXPECT_TRUE(tracker.Finish(Entry(4, "of a later leader")).empty());
  EXPECT_TRUE(tracker.IsOpen(number));
}

TEST(ProposalTracker, ForwardedProposalIsOpenUntilApplied) {
  ProposalTracker tracker;
  tracker.NoteForwarded(5, kTerm, {kOther, 9});
  EXPECT_TRUE(tracker.IsForwardedOpen({kOther, 9}));
  const auto done = tracker.FinishForwarded(Entry(5, "change"));
  ASSERT_TRUE(done.has_value());
  EXPECT_EQ(done->number, 9U);
  EXPECT_FALSE(tracker.IsForwardedOpen({kOther, 9}));
  EXPECT_FALSE(tracker.FinishForwarded(Entry(5, "change")).has_value());
}

// Guards against a lost change that is acknowledged because a later leader's
// entry has its index.
TEST(ProposalTracker, EntryOfAnotherTermDoesNotCompleteForwardedProposal) {
  ProposalTracker tracker;
  tracker.NoteForwarded(5, kTerm, {kOther, 9});
  const auto done = tracker.FinishForwarded(Entry(5, "change", kTerm + 1));
  EXPECT_FALSE(done.has_value());
  EXPECT_FALSE(tracker.IsForwardedOpen({kOther, 9}));
}

TEST(ProposalTracker, ClearForwardedDropsProposalsOfOtherHosts) {
  ProposalTracker tracker;
  tracker.NoteForwarded(5, kTerm, {kOther, 9});
  tracker.ClearForwarded();
  EXPECT_FALSE(tracker.IsForwardedOpen({kOther, 9}));
  EXPECT_FALSE(tracker.FinishForwarded(Entry(5, "change")).has_value());
}

}  // namespace
}  // namespace tamarackwing::control
