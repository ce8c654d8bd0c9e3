//! Tests that an outcome reaches only the proposal that it belongs to.

#include <gtest/gtest.h>

#include "control_cluster.h"

namespace tamarackwing::control {
namespace {

using state::ApplyKind;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{20'000};

state::ReplaceSet NumberedSet(std::uint64_t number) {
  state::ReplaceSet change;
  change.number = number;
  return change;
}

class ProposalIdentityTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                       kTimeout));
    // Wait until views and live hosts are agreed.
    this->cluster.Run(milliseconds(5'000));
  }

  //! Returns the host beside the leader, which forwards its proposals to it.
  HostName Neighbour() {
    const HostName leader = this->cluster.Leader();
    const std::string region =
        this->cluster.Node(leader).State().Hosts().at(leader).region.Text();
    return HostName(region + "-2");
  }

  //! Waits for the outcome of a proposal; kIgnored if there is none.
  ApplyKind Await(const HostName& host, std::uint64_t number) {
    this->cluster.RunUntil(
        [&] { return this->cluster.Outcome(host, number).has_value(); },
        kTimeout);
    return this->cluster.Outcome(host, number)
        .value_or(state::ApplyOutcome())
        .kind;
  }

  ControlCluster cluster{{"muscat", "sohar", "salalah"}, 2, milliseconds(80)};
};

// Guards against a lost change that is acknowledged because the entry of a
// later leader has its index.
TEST_F(ProposalIdentityTest, EntryOfNextLeaderDoesNotCompleteForwardedChange) {
  const HostName leader = this->cluster.Leader();
  const HostName proposer = this->Neighbour();
  this->cluster.Partition({leader, proposer});
  const std::uint64_t number = this->cluster.Change(proposer, NumberedSet(7));
  ASSERT_TRUE(this->cluster.RunUntil(
      [&] { return this->cluster.Leader() != leader; }, kTimeout));
  this->cluster.Heal();
  EXPECT_EQ(this->Await(proposer, number), ApplyKind::kApplied);
  this->cluster.Run(milliseconds(2'000));
  for (const HostName& host : this->cluster.Names()) {
    EXPECT_EQ(this->cluster.Node(host).State().SetNumber(), 7U) << host.Text();
  }
}

}  // namespace
}  // namespace tamarackwing::control
