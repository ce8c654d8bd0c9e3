//! The leader's lease while much is sent between hosts.

#include <gtest/gtest.h>

#include "control_cluster.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

//! Nine control hosts in three regions, whose connections carry little.
class LeaderLeaseTest : public testing::Test {
 protected:
  static constexpr std::size_t kControlHosts = 3;
  static constexpr std::size_t kEntryHosts = 20;
  static constexpr milliseconds kDelay{80};
  //! 1,000 Mbit/s.
  static constexpr std::uint64_t kLink = 125'000'000;
  //! 64 KiB in the time of a round trip.
  static constexpr std::uint64_t kConnection = 409'600;
  static constexpr std::size_t kSetBytes = 200'000;
  static constexpr std::size_t kSets = 5;
  static constexpr milliseconds kLook{10};
  static constexpr milliseconds kSetInterval{300};
  //! Within this time an operator's order is acknowledged.
  static constexpr milliseconds kAcknowledged{8'000};

  static std::vector<state::HostRecord> Hosts() {
    return HostsOf({"muscat", "salalah", "sohar"}, kControlHosts, kEntryHosts);
  }

  void SetUp() override {
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                       milliseconds(30'000)));
    this->cluster.Run(milliseconds(3'000));
    ASSERT_FALSE(this->cluster.Leader().IsEmpty());
    for (const state::HostRecord& host : Hosts()) {
      if (host.has_disk) {
        this->cluster.LimitLink(host.name, kLink);
      }
    }
    this->cluster.LimitConnections(kConnection);
  }

  ControlCluster cluster{
      Hosts(),
      {HostName("muscat-100"), HostName("salalah-100"), HostName("sohar-100")},
      kDelay,
      5};
};

// Guards against a leader that loses its lease, and orders that wait for it,
// because heartbeats wait behind the sets that are sent to the same hosts.
TEST_F(LeaderLeaseTest, LeaderKeepsItsLeaseWhileSetsAreSent) {
  const HostName leader = this->cluster.Leader();
  std::vector<std::uint64_t> orders;
  Duration oldest{0};
  for (milliseconds passed{0}; passed < kAcknowledged; passed += kLook) {
    if (passed % kSetInterval == milliseconds(0) && orders.size() < kSets) {
      state::ReplaceSet change;
      change.number = orders.size() + 1;
      change.document = std::string(kSetBytes, 'x');
      orders.push_back(this->cluster.Change(leader, change));
    }
    this->cluster.Run(kLook);
    oldest = std::max(oldest, this->cluster.Node(leader)
                                  .QuorumAge(this->cluster.Now())
                                  .value_or(Duration::max()));
  }
  for (const std::uint64_t order : orders) {
    EXPECT_TRUE(this->cluster.Outcome(leader, order).has_value()) << order;
  }
  EXPECT_EQ(this->cluster.Leader(), leader);
  const state::LogOptions log;
  EXPECT_LT(oldest, log.election_timeout - log.drift);
}

}  // namespace
}  // namespace tamarackwing::control
