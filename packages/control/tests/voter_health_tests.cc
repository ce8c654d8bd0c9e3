//! What the leader tells of the voters while hosts with disks are lost.

#include <gtest/gtest.h>

#include <algorithm>

#include "control_cluster.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

//! Three regions with a control host, which is a voter, and an entry host each.
class VoterHealthTest : public testing::Test {
 protected:
  //! Hosts catch up before they become voters for as long as messages take.
  static constexpr milliseconds kDelay{20};
  static constexpr milliseconds kStartLimit{30'000};
  //! Longer than a voter may be silent before it counts as lost.
  static constexpr milliseconds kNoticed{12'000};

  void SetUp() override {
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                       kStartLimit));
    ASSERT_TRUE(this->cluster.RunUntil(
        [&] {
          const std::optional<VoterHealth> health = this->Health();
          return health && health->losses_left == 1;
        },
        kStartLimit));
  }

  //! Returns what the leader knows; nullopt if there is no leader.
  std::optional<VoterHealth> Health() {
    const HostName leader = this->cluster.Leader();
    return leader.IsEmpty() ? std::nullopt
                            : this->cluster.Node(leader).FindVoterHealth(
                                  this->cluster.Now());
  }

  HostName OtherVoter() {
    const HostName leader = this->cluster.Leader();
    const std::set<HostName>& voters = this->cluster.Node(leader).Voters();
    return *std::find_if(
        voters.begin(), voters.end(),
        [&](const HostName& voter) { return voter != leader; });
  }

  ControlCluster cluster{{"muscat", "salalah", "sohar"}, 2, kDelay};
};

// Guards against on-call who learn of lost voters only from the loss that
// leaves no majority.
TEST_F(VoterHealthTest, StatusTellsThatNoFurtherLossCanBeBorne) {
  const HostName leader = this->cluster.Leader();
  const HostName lost = this->OtherVoter();
  this->cluster.Crash(lost);
  this->cluster.Run(kNoticed);
  ASSERT_EQ(this->cluster.Leader(), leader);
  ControlEffects effects;
  ASSERT_TRUE(this->cluster.Node(leader).SendStatusRequest(this->cluster.Now(),
                                                           effects));
  ASSERT_EQ(effects.statuses.size(), 1U);
  const StatusReply& reply = effects.statuses.front();
  EXPECT_EQ(reply.voters.size(), 3U);
  ASSERT_TRUE(reply.voter_health);
  ASSERT_EQ(reply.voter_health->lost.size(), 1U);
  EXPECT_EQ(reply.voter_health->lost.front().host, lost);
  EXPECT_GE(reply.voter_health->lost.front().silence,
            kNoticed - milliseconds(1'000));
  EXPECT_EQ(reply.voter_health->losses_left, 0U);
  this->cluster.Restart(lost);
  EXPECT_TRUE(this->cluster.RunUntil(
      [&] {
        const std::optional<VoterHealth> health = this->Health();
        return health && health->losses_left == 1 && health->lost.empty();
      },
      kNoticed));
}

TEST_F(VoterHealthTest, TellsWhichHostIsToBecomeAVoter) {
  this->cluster.Crash(this->OtherVoter());
  state::HostRecord record;
  record.name = HostName("muscat-900");
  record.region = RegionName("muscat");
  record.has_disk = true;
  record.reads_format = state::kNewestFormat;
  this->cluster.Add(record);
  EXPECT_TRUE(this->cluster.RunUntil(
      [&] {
        const std::optional<VoterHealth> health = this->Health();
        return health && health->joining == record.name;
      },
      kNoticed));
  EXPECT_TRUE(this->cluster.RunUntil(
      [&] {
        const std::optional<VoterHealth> health = this->Health();
        return health && health->losses_left == 1 && health->lost.empty();
      },
      kNoticed));
}

// Guards against hosts that contradict the leader.
TEST_F(VoterHealthTest, OnlyTheLeaderKnowsAndOnlyWithALease) {
  const HostName leader = this->cluster.Leader();
  for (const HostName& host : this->cluster.Names()) {
    EXPECT_EQ(this->cluster.Node(host)
                  .FindVoterHealth(this->cluster.Now())
                  .has_value(),
              host == leader);
  }
  this->cluster.Partition({leader});
  this->cluster.Run(state::LogOptions().election_timeout);
  EXPECT_FALSE(this->cluster.Node(leader).FindVoterHealth(this->cluster.Now()));
}

}  // namespace
}  // namespace tamarackwing::control
