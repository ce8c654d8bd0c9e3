//! Hosts with disks are lost for good, one after another, and others take their
//! places.

#include <gtest/gtest.h>

#include <algorithm>

#include "replacement_site.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

//! How often hosts are lost or replaced.
constexpr int kRounds = 5;
//! How long all processes are gone that end at once.
constexpr milliseconds kProcessesGone{1'000};

//! Which hosts are lost first.
enum class Order { kLeaderFirst, kLeaderLast, kLeaderEachTime };

struct Case {
  //! How many hosts with disks may be lost at once.
  std::size_t tolerated = 1;
  Order order = Order::kLeaderFirst;
};

void PrintTo(const Case& which, std::ostream* out) {
  *out << which.tolerated << " lost at once, order "
       << static_cast<int>(which.order);
}

class VoterReplacementTest : public testing::TestWithParam<Case> {
 protected:
  void SetUp() override { ASSERT_TRUE(this->site.Start()); }

  //! Returns the next host to lose: one of the first hosts while there are any,
  //! or whoever leads.
  HostName NextLost() {
    HostName leader = this->site.cluster.Leader();
    const Order order = GetParam().order;
    const bool takes_leader =
        order == Order::kLeaderEachTime ||
        (order == Order::kLeaderFirst && this->site.lost == 0);
    if (takes_leader && !leader.IsEmpty()) {
      return leader;
    }
    for (const state::HostRecord& host : this->first_hosts) {
      if (host.has_disk && this->site.cluster.IsUp(host.name) &&
          host.name != leader) {
        return host.name;
      }
    }
    return leader;
  }

  //! Loses as many hosts as may be lost at once. Returns their successors.
  std::vector<state::HostRecord> Lose() {
    std::vector<state::HostRecord> successors;
    for (std::size_t i = 0; i < GetParam().tolerated; ++i) {
      const HostName host = this->NextLost();
      if (!host.IsEmpty()) {
        successors.push_back(this->site.Lose(host));
      }
    }
    return successors;
  }

  //! Loses as many hosts as may be lost at once and starts their successors.
  void LoseAndReplace() {
    const std::vector<state::HostRecord> successors = this->Lose();
    this->site.cluster.Run(kSuccessorAfter);
    this->site.StartSuccessors(successors);
    this->site.cluster.Run(kCatchUp);
  }

  //! Ends all processes and starts them again.
  void EndAll() {
    this->site.NameSeeds();
    const std::vector<HostName> up = this->site.CrashAll();
    this->site.cluster.Run(kProcessesGone);
    this->site.RestartAll(up);
  }

  //! As LoseAndReplace; all processes end before the successors start.
  void LoseAndEndAllBeforeSuccessors() {
    const std::vector<state::HostRecord> successors = this->Lose();
    this->site.cluster.Run(kSuccessorAfter / 2);
    this->EndAll();
    this->site.StartSuccessors(successors);
    this->site.cluster.Run(kCatchUp);
  }

  //! As LoseAndReplace; all processes end after the successors have joined.
  void LoseAndEndAllWithSuccessors() {
    const std::vector<state::HostRecord> successors = this->Lose();
    this->site.cluster.Run(kSuccessorAfter);
    this->site.StartSuccessors(successors);
    this->site.cluster.Run(milliseconds(700));
    this->EndAll();
    this->site.cluster.Run(kCatchUp);
  }

  //! Starts a successor of the next host, which then drains and ends.
  void ReplaceAsPlanned() {
    const HostName leaving = this->NextLost();
    this->site.StartSuccessors({this->site.SuccessorOf(leaving)});
    this->site.cluster.Run(milliseconds(1'000));
    this->site.cluster.Node(leaving).StartDrain();
    this->site.cluster.Run(milliseconds(3'000));
    this->site.Lose(leaving);
    this->site.cluster.Run(milliseconds(5'000));
  }

  //! Expects a set to be acknowledged, and to be read after a loss of power.
  void ExpectMajorityRemains() {
    ASSERT_TRUE(this->site.Replace()) << this->site.Describe();
    this->site.NameSeeds();
    const std::vector<HostName> up = this->site.CrashAll();
    this->site.cluster.Run(kProcessesGone);
    this->site.RestartAll(up);
    EXPECT_TRUE(this->site.cluster.RunUntil(
        [&] { return this->site.IsReadable(); }, kReadLimit))
        << this->site.Describe();
    EXPECT_TRUE(this->site.cluster.Violations().empty());
  }

  std::vector<state::HostRecord> first_hosts = HostsFor(GetParam().tolerated);
  ReplacementSite site{
      first_hosts,
      {HostName("muscat-100"), HostName("salalah-100"), HostName("sohar-101")},
      GetParam().tolerated};
};

//! Guards against a configuration that nobody can read or change any more: the
//! voters that are gone, and still count, become a majority.
TEST_P(VoterReplacementTest, MajorityRemainsWhileHostsAreLostInTurn) {
  ASSERT_TRUE(this->site.Replace());
  for (int i = 0; i < kRounds; ++i) {
    this->LoseAndReplace();
  }
  this->ExpectMajorityRemains();
}

//! Guards against a silence that no process remembers: all end after the
//! losses, before the successors start, and the lost voters still count when
//! the next ones are lost.
TEST_P(VoterReplacementTest, MajorityRemainsAlthoughAllEndBeforeSuccessors) {
  ASSERT_TRUE(this->site.Replace());
  this->LoseAndEndAllBeforeSuccessors();
  for (int i = 1; i < kRounds; ++i) {
    this->LoseAndReplace();
  }
  this->ExpectMajorityRemains();
}

//! As before, and all end after each of the losses.
TEST_P(VoterReplacementTest, MajorityRemainsAlthoughAllEndEachTime) {
  ASSERT_TRUE(this->site.Replace());
  for (int i = 0; i < kRounds; ++i) {
    this->LoseAndEndAllBeforeSuccessors();
  }
  this->ExpectMajorityRemains();
}

//! Guards against successors that are not taken for such any more: they joined
//! before all processes ended.
TEST_P(VoterReplacementTest, MajorityRemainsAlthoughAllEndWithSuccessors) {
  ASSERT_TRUE(this->site.Replace());
  this->LoseAndEndAllWithSuccessors();
  for (int i = 1; i < kRounds; ++i) {
    this->LoseAndReplace();
  }
  this->ExpectMajorityRemains();
}

//! As before, and all end after each of the losses.
TEST_P(VoterReplacementTest, MajorityRemainsAlthoughAllEndEachTimeWithThem) {
  ASSERT_TRUE(this->site.Replace());
  for (int i = 0; i < kRounds; ++i) {
    this->LoseAndEndAllWithSuccessors();
  }
  this->ExpectMajorityRemains();
}

//! Guards against voters that still count after they have drained and ended,
//! and become a majority with those that are lost next.
TEST_P(VoterReplacementTest, MajorityRemainsWhileHostsAreReplacedAsPlanned) {
  ASSERT_TRUE(this->site.Replace());
  for (int i = 0; i < kRounds; ++i) {
    this->ReplaceAsPlanned();
  }
  // The losses that must be borne now.
  this->LoseAndReplace();
  this->ExpectMajorityRemains();
}

//! Guards against a voter that has drained and ended, and still counts when the
//! next losses must be borne: its successor started long before.
TEST_P(VoterReplacementTest, NoVoterRemainsThatHasEndedAsPlanned) {
  ASSERT_TRUE(this->site.Replace());
  for (int i = 0; i < kRounds; ++i) {
    this->ReplaceAsPlanned();
    EXPECT_TRUE(this->site.GoneVoters().empty()) << this->site.Describe();
  }
}

//! Guards against lost voters that still count when the next losses must be
//! borne, because all processes ended before the successors started.
TEST_P(VoterReplacementTest, NoVoterRemainsThatWasLostBeforeAllEnded) {
  ASSERT_TRUE(this->site.Replace());
  this->LoseAndEndAllBeforeSuccessors();
  EXPECT_TRUE(this->site.GoneVoters().empty()) << this->site.Describe();
}

INSTANTIATE_TEST_SUITE_P(Orders,
                         VoterReplacementTest,
                         testing::Values(Case{1, Order::kLeaderFirst},
                                         Case{1, Order::kLeaderLast},
                                         Case{1, Order::kLeaderEachTime},
                                         Case{2, Order::kLeaderFirst},
                                         Case{2, Order::kLeaderLast},
                                         Case{2, Order::kLeaderEachTime}));

//! How long after its start the first successor falls silent.
class VoterReplacementBySecondTest
    : public testing::TestWithParam<milliseconds> {};

//! Guards against a replacement that waits for a successor which has fallen
//! silent itself, beyond the time in which the next successor is to have caught
//! up.
TEST_P(VoterReplacementBySecondTest, SilentSuccessorBlocksNoReplacement) {
  // Both are lost at once, which two tolerated losses cover.
  const std::vector<state::HostRecord> hosts = HostsFor(2);
  ReplacementSite site(hosts, FirstWithDisks(hosts), 2);
  ASSERT_TRUE(site.Start());
  ASSERT_TRUE(site.Replace());
  const std::vector<HostName> voters = site.Holders(2);
  ASSERT_EQ(voters.size(), 2U);
  const state::HostRecord first = site.Lose(voters.back());
  site.cluster.Run(kSuccessorAfter);
  site.StartSuccessors({first});
  site.cluster.Run(GetParam());
  const state::HostRecord second = site.Lose(first.name);
  site.cluster.Run(kSuccessorAfter);
  site.StartSuccessors({second});
  site.cluster.Run(kCatchUp);
  EXPECT_TRUE(site.GoneVoters().empty()) << site.Describe();
  EXPECT_TRUE(site.Voters().contains(second.name)) << site.Describe();
  EXPECT_TRUE(site.Replace());
  EXPECT_TRUE(site.cluster.Violations().empty());
}

INSTANTIATE_TEST_SUITE_P(Moments,
                         VoterReplacementBySecondTest,
                         testing::Values(milliseconds(300),
                                         milliseconds(600),
                                         milliseconds(900),
                                         milliseconds(1'100),
                                         milliseconds(1'200),
                                         milliseconds(1'300),
                                         milliseconds(1'400),
                                         milliseconds(1'500),
                                         milliseconds(1'700),
                                         milliseconds(2'000)));

}  // namespace
}  // namespace tamarackwing::control
