#include "tamarackwing/control/message_kind.h"

#include <gtest/gtest.h>

namespace tamarackwing::control {
namespace {

TEST(MessageKind, EveryMessageHasAKind) {
  EXPECT_EQ(MessageKind(PeerMessage(FeedRequest())), "feed_request");
  EXPECT_EQ(MessageKind(PeerMessage(policy::QuarantineNotice())), "quarantine");
  EXPECT_EQ(MessageKind(PeerMessage(policy::StreamAnswer())), "stream_answer");
  EXPECT_EQ(MessageKind(PeerMessage(policy::TokenReturn())), "token_return");
  EXPECT_EQ(MessageKind(PeerMessage(RelayedNotice())), "relayed_notice");
  EXPECT_EQ(MessageKind(PeerMessage(ServerDoubts())), "server_doubts");
}

// Guards against a request or an outcome that is not sent.
TEST(MessageKind, OnlyMessagesThatAreSentAgainAreRepeated) {
  FeedRequest probe;
  probe.next = FeedRequest::kNoEntries;
  EXPECT_TRUE(IsRepeated(probe));
  EXPECT_FALSE(IsRepeated(FeedRequest()));
  EXPECT_TRUE(IsRepeated(policy::CrashReport()));
  EXPECT_FALSE(IsRepeated(policy::QuarantineNotice()));
  EXPECT_FALSE(IsRepeated(RegionStatus()));
  EXPECT_FALSE(IsRepeated(state::LogMessage(state::AppendRequest())));
}

}  // namespace
}  // namespace tamarackwing::control
