//! Orders that are sent again because their acknowledgement was late or lost.

#include <gtest/gtest.h>

#include "control_cluster.h"

namespace tamarackwing::control {
namespace {

using state::ApplyKind;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{20'000};

class ResentOrderTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                       kTimeout));
    // Wait until views and live hosts are agreed.
    this->cluster.Run(milliseconds(5'000));
  }

  //! Puts a set in force on all hosts.
  void PutInForce(std::uint64_t number) {
    this->cluster.Change(this->cluster.Leader(), NumberedSet(number));
    this->cluster.Run(milliseconds(3'000));
    for (const HostName& host : this->cluster.Names()) {
      ASSERT_EQ(this->cluster.Node(host).State().SetNumber(), number);
    }
  }

  //! Returns the kind of a proposal's outcome; nullopt if it is open.
  std::optional<ApplyKind> KindOf(const HostName& host, std::uint64_t number) {
    const auto outcome = this->cluster.Outcome(host, number);
    return outcome ? std::optional(outcome->kind) : std::nullopt;
  }

  LogIndex Applied() {
    return this->cluster.Node(this->cluster.Leader()).State().Applied();
  }

  const std::set<HostName> control{HostName("muscat-1"), HostName("sohar-1"),
                                   HostName("salalah-1")};
  ControlCluster cluster{{"muscat", "sohar", "salalah"}, 2, milliseconds(80)};
};

// Guards against an order without an acknowledgement although it is in force.
TEST_F(ResentOrderTest, SetInForceIsAcknowledgedWithoutLeader) {
  this->PutInForce(7);
  for (const HostName& host : this->control) {
    if (host != HostName("muscat-1")) {
      this->cluster.Suspend(host);
    }
  }
  this->cluster.Run(milliseconds(3'000));
  const HostName host("muscat-1");
  for (const std::uint64_t set : {7, 6}) {
    EXPECT_EQ(this->KindOf(host, this->cluster.Change(host, NumberedSet(set))),
              ApplyKind::kOvertaken);
  }
  EXPECT_EQ(this->KindOf(host, this->cluster.Change(host, NumberedSet(8))),
            std::nullopt);
}

TEST_F(ResentOrderTest, PublishThatIsInForceIsAcknowledgedWithoutLeader) {
  const HostName leader = this->cluster.Leader();
  const SetVersion base = this->cluster.Node(leader).State().Version();
  this->cluster.Publish(leader, "first", base, SmallSet("muscat", 100));
  this->cluster.Run(milliseconds(3'000));
  for (const HostName& host : this->control) {
    if (host != HostName("muscat-1")) {
      this->cluster.Suspend(host);
    }
  }
  this->cluster.Run(milliseconds(3'000));
  const HostName host("muscat-1");
  EXPECT_EQ(this->KindOf(host, this->cluster.Publish(host, "first", base,
                                                     SmallSet("muscat", 100))),
            ApplyKind::kApplied);
}

// Guards against resent orders that load the log.
TEST_F(ResentOrderTest, SetInForceIsNotAppendedAgain) {
  this->PutInForce(7);
  const LogIndex before = this->Applied();
  for (const HostName& host : this->cluster.Names()) {
    this->cluster.Change(host, NumberedSet(7));
  }
  this->cluster.Run(milliseconds(2'000));
  EXPECT_EQ(this->Applied(), before);
}

// As above, where no host has applied the order yet.
TEST_F(ResentOrderTest, SetOnItsWayIsAppendedOnce) {
  this->PutInForce(7);
  const LogIndex before = this->Applied();
  std::map<HostName, std::uint64_t> orders;
  for (const HostName& host : this->cluster.Names()) {
    orders[host] = this->cluster.Change(host, NumberedSet(8));
  }
  this->cluster.Run(milliseconds(2'000));
  for (const auto& [host, number] : orders) {
    EXPECT_TRUE(this->KindOf(host, number).has_value()) << host.Text();
  }
  // The leader confirms the new version on all hosts with another entry.
  EXPECT_LE(this->Applied(), before + 2);
}

// Guards against an order that is dropped in favour of one that its leader
// loses.
TEST_F(ResentOrderTest, OrderIsAppendedWhenOneOnItsWayIsLost) {
  this->PutInForce(7);
  const HostName leader = this->cluster.Leader();
  const std::string region =
      this->cluster.Node(leader).State().Hosts().at(leader).region.Text();
  const HostName neighbour(region + "-2");
  this->cluster.Partition({leader, neighbour});
  this->cluster.Change(leader, NumberedSet(8));
  const std::uint64_t number = this->cluster.Change(neighbour, NumberedSet(8));
  ASSERT_TRUE(this->cluster.RunUntil(
      [&] { return this->cluster.Leader() != leader; }, kTimeout));
  this->cluster.Heal();
  ASSERT_TRUE(this->cluster.RunUntil(
      [&] { return this->KindOf(neighbour, number).has_value(); }, kTimeout));
  EXPECT_EQ(this->cluster.Node(neighbour).State().SetNumber(), 8U);
}

}  // namespace
}  // namespace tamarackwing::control
