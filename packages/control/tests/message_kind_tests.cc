#include "tamarackwing/control/message_kind.h"

#include <gtest/gtest.h>

namespace tamarackwing::control {
namespace {

TEST(MessageKind, EveryMessageHasAKind) {
  EXPECT_EQ(MessageKind(PeerMessage(FeedRequest())), "feed_request");
  EXPECT_EQ(MessageKind(PeerMessage(policy::QuarantineNotice())), "quarantine");
  EXPECT_EQ(MessageKind(PeerMessage(policy::StreamAnswer())), "stream_answer");
  EXPECT_EQ(MessageKind(PeerMessage(policy::TokenReturn())), "token_return");
}

}  // namespace
}  // namespace tamarackwing::control
