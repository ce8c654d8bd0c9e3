#include <gtest/gtest.h>

#include <map>

#include "tamarackwing/policy/fair_queue.h"

namespace tamarackwing::policy {
namespace {

QueuedRequest Request(std::uint64_t id,
                      const char* workspace,
                      TokenCount tokens = 10,
                      std::uint32_t weight = 1) {
  return {id, WorkspaceName(workspace), weight, tokens, TimePoint::max()};
}

TEST(FairQueue, FloodOfOneWorkspaceDoesNotDelayAnother) {
  FairQueue queue(100);
  for (std::uint64_t id = 0; id < 50; ++id) {
    queue.Push(Request(id, "large"));
  }
  queue.Push(Request(99, "small"));
  ASSERT_EQ(queue.Pop()->workspace, WorkspaceName("large"));
  EXPECT_EQ(queue.Pop()->id, 99U);
}

TEST(FairQueue, AheadIgnoresFloodOfAnotherWorkspace) {
  FairQueue queue(100);
  for (std::uint64_t id = 0; id < 50; ++id) {
    queue.Push(Request(id, "large"));
  }
  EXPECT_EQ(queue.Ahead(WorkspaceName("small")), 1U);
  EXPECT_EQ(queue.Ahead(WorkspaceName("large")), 50U);
}

TEST(FairQueue, ServesWorkspacesByWeight) {
  FairQueue queue(1'000);
  for (std::uint64_t id = 0; id < 400; ++id) {
    queue.Push(Request(id, "a", 10, 3));
    queue.Push(Request(1'000 + id, "b", 10, 1));
  }
  std::map<WorkspaceName, int> served;
  for (int i = 0; i < 200; ++i) {
    served[queue.Pop()->workspace] += 1;
  }
  EXPECT_NEAR(served[WorkspaceName("a")], 150, 2);
}

TEST(FairQueue, FullQueueEvictsFromWorkspaceWithMostRequests) {
  FairQueue queue(4);
  for (std::uint64_t id = 0; id < 4; ++id) {
    queue.Push(Request(id, "large"));
  }
  EXPECT_FALSE(queue.Push(Request(4, "large")));
  EXPECT_TRUE(queue.Push(Request(5, "small")));
  const auto evicted = queue.TakeEvicted();
  ASSERT_EQ(evicted.size(), 1U);
  EXPECT_EQ(evicted[0].id, 3U);
}

TEST(FairQueue, OrderIncludesTokensServedByOtherHosts) {
  FairQueue queue(10);
  queue.NoteServedElsewhere(WorkspaceName("a"), 1, 1'000);
  queue.Push(Request(1, "a"));
  queue.Push(Request(2, "b"));
  EXPECT_EQ(queue.Pop()->id, 2U);
}

TEST(FairQueue, RemovesRequestsThatAreTooLate) {
  FairQueue queue(10);
  QueuedRequest late = Request(1, "a");
  late.latest_start = TimePoint(std::chrono::seconds(5));
  queue.Push(late);
  queue.Push(Request(2, "a"));
  EXPECT_EQ(queue.Expire(TimePoint(std::chrono::seconds(5))).size(), 1U);
  EXPECT_EQ(queue.Size(), 1U);
  EXPECT_EQ(queue.WaitingTokens(), 10);
}

}  // namespace
}  // namespace tamarackwing::policy
