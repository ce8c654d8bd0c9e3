#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "log_cluster.h"

namespace tamarackwing::state {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kElectionTime{6'000};

TEST(AgreedLog, AFirstLeaderIsElectedAndAppliesEverywhere) {
  LogCluster cluster(3);
  cluster.Settle(kElectionTime);
  ASSERT_FALSE(cluster.Leader().IsEmpty());
  ASSERT_TRUE(cluster.Propose("a"));
  cluster.Settle(milliseconds(1'000));
  for (const HostName& host : cluster.Names()) {
    EXPECT_EQ(cluster.Applied(host), std::vector<std::string>{"a"});
  }
}

TEST(AgreedLog, ACutOffLeaderLosesItsLeaseBeforeAnotherIsElected) {
  LogCluster cluster(3);
  cluster.Settle(kElectionTime);
  const HostName old = cluster.Leader();
  cluster.Cut({old});
  cluster.Settle(kElectionTime);
  EXPECT_NE(cluster.Leader(), old);
  EXPECT_FALSE(cluster.Leader().IsEmpty());
  EXPECT_FALSE(cluster.Log(old).IsLeader());
  EXPECT_TRUE(cluster.Violations().empty());
}

TEST(AgreedLog, AHostThatWasSilentForLongDisturbsNobodyWhenItComesBack) {
  LogCluster cluster(3);
  cluster.Settle(kElectionTime);
  HostName silent;
  for (const HostName& host : cluster.Names()) {
    silent = host == cluster.Leader() ? silent : host;
  }
  cluster.Cut({silent});
  cluster.Settle(milliseconds(60'000));
  const HostName leader = cluster.Leader();
  const Term term = cluster.Log(leader).CurrentTerm();
  cluster.Heal();
  cluster.Settle(kElectionTime);
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.Log(leader).CurrentTerm(), term);
}

TEST(AgreedLog, ALostVoterIsReplacedAndASecondLossIsSurvived) {
  LogCluster cluster(3, 1);
  cluster.Settle(kElectionTime);
  ASSERT_TRUE(cluster.Propose("before"));
  cluster.Settle(milliseconds(1'000));
  const HostName leader = cluster.Leader();
  HostName lost;
  HostName other;
  for (const HostName& host : cluster.Log(leader).Voters()) {
    if (host != leader) {
      (lost.IsEmpty() ? lost : other) = host;
    }
  }
  cluster.Crash(lost);
  ASSERT_TRUE(cluster.AddVoter(HostName("host-3")));
  cluster.Settle(milliseconds(2'000));
  ASSERT_TRUE(cluster.RemoveVoter(lost));
  cluster.Settle(milliseconds(2'000));
  cluster.Crash(other);
  cluster.Settle(kElectionTime);
  ASSERT_TRUE(cluster.Propose("after"));
  cluster.Settle(milliseconds(2'000));
  EXPECT_EQ(cluster.Applied(HostName("host-3")),
            (std::vector<std::string>{"before", "after"}));
}

TEST(AgreedLog, ALeaderThatRemovesItselfStepsDownAndAnotherLeads) {
  LogCluster cluster(3);
  cluster.Settle(kElectionTime);
  const HostName old = cluster.Leader();
  ASSERT_TRUE(cluster.Propose("before"));
  ASSERT_TRUE(cluster.RemoveVoter(old));
  cluster.Settle(milliseconds(20'000));
  ASSERT_FALSE(cluster.Leader().IsEmpty());
  EXPECT_NE(cluster.Leader(), old);
  EXPECT_EQ(cluster.Log(cluster.Leader()).Voters().size(), 2U);
}

TEST(AgreedLog, AHostThatLostItsDiskVotesAgainOnceItIsUpToDate) {
  LogCluster cluster(3);
  cluster.Settle(kElectionTime);
  ASSERT_TRUE(cluster.Propose("kept"));
  cluster.Settle(milliseconds(1'000));
  const HostName leader = cluster.Leader();
  HostName renewed;
  for (const HostName& host : cluster.Names()) {
    renewed = host == leader ? renewed : host;
  }
  cluster.Crash(renewed);
  cluster.LoseDisk(renewed);
  cluster.Restart(renewed);
  cluster.Settle(milliseconds(3'000));
  cluster.Crash(leader);
  cluster.Settle(milliseconds(20'000));
  ASSERT_FALSE(cluster.Leader().IsEmpty());
  EXPECT_EQ(cluster.Applied(renewed), std::vector<std::string>{"kept"});
}

//! Of two voters the leader removes itself and is cut off before the other has
//! heard: neither can be elected without the one that is to go.
TEST(AgreedLog, ALeaderCutOffDuringItsOwnRemovalComesBackToCommitIt) {
  LogCluster cluster(2);
  cluster.Settle(kElectionTime);
  const HostName old = cluster.Leader();
  cluster.Cut({old});
  ASSERT_TRUE(cluster.RemoveVoter(old));
  cluster.Settle(kElectionTime);
  cluster.Heal();
  cluster.Settle(milliseconds(20'000));
  ASSERT_FALSE(cluster.Leader().IsEmpty());
  EXPECT_NE(cluster.Leader(), old);
}

//! A spare that was added, and then left with the leader as the only voters,
//! has not yet heard that it is one.
TEST(AgreedLog, AVoterThatHasNotHeardThatItIsOneVotes) {
  LogCluster cluster(3, 1);
  cluster.Settle(kElectionTime);
  const HostName leader = cluster.Leader();
  const HostName spare("host-3");
  ASSERT_TRUE(cluster.AddVoter(spare));
  cluster.Settle(milliseconds(150));
  cluster.Cut({spare});
  for (const HostName& host : cluster.Names()) {
    if (host != leader && host != spare) {
      cluster.RemoveVoter(host);
      cluster.Settle(milliseconds(300));
    }
  }
  cluster.Crash(leader);
  cluster.Restart(leader);
  cluster.Heal();
  cluster.Settle(milliseconds(30'000));
  EXPECT_FALSE(cluster.Leader().IsEmpty());
}

TEST(AgreedLog, AHostThatLostItsDiskDoesNotVoteUntilItIsUpToDate) {
  LogCluster cluster(3);
  cluster.Settle(kElectionTime);
  ASSERT_TRUE(cluster.Propose("kept"));
  cluster.Settle(milliseconds(1'000));
  const HostName leader = cluster.Leader();
  std::vector<HostName> followers;
  for (const HostName& host : cluster.Names()) {
    if (host != leader) {
      followers.push_back(host);
    }
  }
  cluster.Cut({leader});
  cluster.Crash(followers[0]);
  cluster.LoseDisk(followers[0]);
  cluster.Restart(followers[0]);
  cluster.Crash(followers[1]);
  cluster.Restart(followers[1]);
  cluster.Settle(milliseconds(20'000));
  EXPECT_TRUE(cluster.Leader().IsEmpty());
  cluster.Heal();
  cluster.Settle(milliseconds(20'000));
  EXPECT_EQ(cluster.Applied(followers[0]), std::vector<std::string>{"kept"});
  EXPECT_TRUE(cluster.Violations().empty());
}

TEST(AgreedLog, ASnapshotBringsALateHostUpToDate) {
  LogCluster cluster(3);
  cluster.Settle(kElectionTime);
  HostName late;
  for (const HostName& host : cluster.Names()) {
    late = host == cluster.Leader() ? late : host;
  }
  cluster.Crash(late);
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(cluster.Propose(std::to_string(i)));
    cluster.Settle(milliseconds(100));
  }
  cluster.Compact(cluster.Leader());
  cluster.Settle(milliseconds(500));
  cluster.Restart(late);
  cluster.Settle(milliseconds(4'000));
  EXPECT_EQ(cluster.Applied(late).size(), 20U);
}

//! Does at random what a net, a disk and an operator can do.
void DoFault(LogCluster& cluster, int action, std::size_t choice, int& next) {
  const std::vector<HostName> names = cluster.Names();
  const HostName& host = names[choice % names.size()];
  switch (action) {
    case 0:
      cluster.Crash(host);
      break;
    case 1:
      cluster.Restart(host);
      break;
    case 2:
      cluster.Cut({host});
      break;
    case 3:
      cluster.Heal();
      break;
    case 4:
      cluster.Compact(host);
      break;
    case 5:
      cluster.AddVoter(host);
      break;
    case 6:
      cluster.RemoveVoter(host);
      break;
    case 7:
      cluster.Drop(choice);
      break;
    case 8:
      cluster.Deliver(choice, true);
      break;
    case 9:
    case 10:
      cluster.Propose(std::to_string(next++));
      break;
    case 11:
    case 12:
    case 13:
      cluster.Advance(milliseconds(choice % 700));
      break;
    case 14:
    case 15:
      cluster.Persist(host);
      break;
    default:
      cluster.Deliver(choice, false);
      break;
  }
}

void RunFaults(LogCluster& cluster, int steps) {
  int next = 0;
  cluster.Settle(kElectionTime);
  for (int i = 0; i < steps; ++i) {
    const int action = *rc::gen::inRange(0, 40);
    const auto choice = static_cast<std::size_t>(*rc::gen::inRange(0, 1000));
    DoFault(cluster, action, choice, next);
  }
}

RC_GTEST_PROP(AgreedLog, NoFaultMakesTwoHostsDisagree, ()) {
  LogCluster cluster(3, 1);
  RunFaults(cluster, 400);
  cluster.Heal();
  for (const HostName& host : cluster.Names()) {
    cluster.Restart(host);
  }
  cluster.Settle(milliseconds(30'000));
  RC_ASSERT(cluster.Violations().empty());
  RC_ASSERT(!cluster.Leader().IsEmpty());
  const HostName leader = cluster.Leader();
  for (const HostName& host : cluster.Log(leader).Voters()) {
    RC_ASSERT(cluster.Applied(host) == cluster.Applied(leader));
  }
}

TEST(AgreedLog, TheCheckerSeesEntriesThatAreConfirmedBeforeTheyAreWritten) {
  LogCluster cluster(3);
  cluster.confirms_too_early = true;
  for (int i = 0; i < 4'000; ++i) {
    cluster.Advance(milliseconds(10));
    while (cluster.Pending() > 0) {
      cluster.Deliver(0, false);
    }
    if (!cluster.Leader().IsEmpty()) {
      break;
    }
  }
  ASSERT_TRUE(cluster.Propose("lost"));
  for (int i = 0; i < 100; ++i) {
    cluster.Advance(milliseconds(10));
    while (cluster.Pending() > 0) {
      cluster.Deliver(0, false);
    }
  }
  for (const HostName& host : cluster.Names()) {
    cluster.Crash(host);
    cluster.Restart(host);
  }
  cluster.confirms_too_early = false;
  cluster.Settle(milliseconds(10'000));
  ASSERT_TRUE(cluster.Propose("other"));
  cluster.Settle(milliseconds(2'000));
  EXPECT_FALSE(cluster.Violations().empty());
}

}  // namespace
}  // namespace tamarackwing::state
