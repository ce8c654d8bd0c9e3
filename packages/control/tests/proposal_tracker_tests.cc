#include "tamarackwing/control/proposal_tracker.h"

#include <gtest/gtest.h>

namespace tamarackwing::control {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
const HostName kOther("other");

constexpr Term kTerm = 3;
const ForwardedProposal kForwarded{kOther, 9, 17};

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
  const std::uint64_t number = tracker.NextNumber();
  tracker.Add(number, {}, "change", kStart);
  EXPECT_TRUE(tracker.Due(kStart).empty());
  const TimePoint later = kStart + std::chrono::seconds(1);
  EXPECT_EQ(tracker.Due(later), std::vector<std::uint64_t>{number});
  EXPECT_TRUE(tracker.Due(later).empty());
  tracker.SetIndex(number, 4);
  EXPECT_EQ(tracker.Finish(Entry(4, "change")), number);
  EXPECT_FALSE(tracker.HasOpen());
}

TEST(ProposalTracker, OtherEntryAtSameIndexDoesNotCompleteProposal) {
  ProposalTracker tracker;
  const std::uint64_t number = tracker.NextNumber();
  tracker.Add(number, {}, "change", kStart);
  tracker.SetIndex(number, 4);
  EXPECT_FALSE(tracker.Finish(Entry(4, "of a later leader")).has_value());
  EXPECT_TRUE(tracker.IsOpen(number));
}

TEST(ProposalTracker, ForwardedProposalIsOpenUntilApplied) {
  ProposalTracker tracker;
  tracker.NoteForwarded(5, kTerm, kForwarded);
  EXPECT_TRUE(tracker.IsForwardedOpen(kForwarded));
  const auto done = tracker.FinishForwarded(Entry(5, "change"));
  ASSERT_TRUE(done.has_value());
  EXPECT_EQ(done->number, 9U);
  EXPECT_FALSE(tracker.IsForwardedOpen(kForwarded));
  EXPECT_FALSE(tracker.FinishForwarded(Entry(5, "change")).has_value());
}

// Guards against a lost change that is acknowledged because a later leader's
// entry has its index.
TEST(ProposalTracker, EntryOfAnotherTermDoesNotCompleteForwardedProposal) {
  ProposalTracker tracker;
  tracker.NoteForwarded(5, kTerm, kForwarded);
  const auto done = tracker.FinishForwarded(Entry(5, "change", kTerm + 1));
  EXPECT_FALSE(done.has_value());
  EXPECT_FALSE(tracker.IsForwardedOpen(kForwarded));
}

// Guards against a proposal of a new process that is taken for a resend of its
// predecessor's.
TEST(ProposalTracker, SameNumberOfAnotherProcessIsAnotherProposal) {
  ProposalTracker tracker;
  tracker.NoteForwarded(5, kTerm, kForwarded);
  EXPECT_FALSE(tracker.IsForwardedOpen({kOther, 9, 18}));
}

TEST(ProposalTracker, ClearForwardedDropsProposalsOfOtherHosts) {
  ProposalTracker tracker;
  tracker.NoteForwarded(5, kTerm, kForwarded);
  tracker.ClearForwarded();
  EXPECT_FALSE(tracker.IsForwardedOpen(kForwarded));
  EXPECT_FALSE(tracker.FinishForwarded(Entry(5, "change")).has_value());
}

}  // namespace
}  // namespace tamarackwing::control
