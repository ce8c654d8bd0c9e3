//! Voters that lack entries of the agreed log.

#include <gtest/gtest.h>

#include "control_cluster.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

// Guards against a leader that sends the same entries again for each message
// that a voter has rejected before they arrive.
TEST(VoterCatchUpTest, EntriesAreSentAgainOnce) {
  constexpr int kMissed = 20;
  constexpr int kNew = 50;
  constexpr milliseconds kInterval{20};
  ControlCluster cluster({"muscat", "sohar", "salalah"}, 1, milliseconds(80));
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllReady(); },
                               milliseconds(20'000)));
  cluster.Run(milliseconds(5'000));
  const HostName leader = cluster.Leader();
  const HostName behind(leader == HostName("sohar-1") ? "muscat-1" : "sohar-1");
  int key = 0;
  const auto change = [&] {
    cluster.Change(leader, state::WithdrawKeys{
                               {KeyDigest("key-" + std::to_string(++key))}});
    cluster.Run(kInterval);
  };
  cluster.Partition({behind});
  for (int i = 0; i < kMissed; ++i) {
    change();
  }
  cluster.Heal();
  const std::uint64_t before = cluster.EntriesSent();
  for (int i = 0; i < kNew; ++i) {
    change();
  }
  cluster.Run(milliseconds(1'000));
  ASSERT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.Node(behind).State().Applied(),
            cluster.Node(leader).State().Applied());
  EXPECT_LE(cluster.EntriesSent() - before, 2 * (kMissed + 2 * kNew));
}

}  // namespace
}  // namespace tamarackwing::control
