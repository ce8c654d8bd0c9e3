#include <gtest/gtest.h>

#include <algorithm>

#include <rapidcheck/gtest.h>

#include "log_cluster.h"

namespace tamarackwing::state {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kElectionTime{6'000};

TEST(AgreedLog, ElectsALeaderAndReplicatesToAllHosts) {
  LogCluster cluster(3);
  cluster.RunFor(kElectionTime);
  ASSERT_FALSE(cluster.Leader().IsEmpty());
  ASSERT_TRUE(cluster.Propose("a"));
  cluster.RunFor(milliseconds(1'000));
  for (const HostName& host : cluster.Names()) {
    EXPECT_EQ(cluster.Applied(host), std::vector<std::string>{"a"});
  }
}

TEST(AgreedLog, APartitionedLeaderLosesItsLeaseBeforeAnotherIsElected) {
  LogCluster cluster(3);
  cluster.RunFor(kElectionTime);
  const HostName old = cluster.Leader();
  cluster.Partition({old});
  cluster.RunFor(kElectionTime);
  EXPECT_NE(cluster.Leader(), old);
  EXPECT_FALSE(cluster.Leader().IsEmpty());
  EXPECT_FALSE(cluster.Log(old).IsLeader());
  EXPECT_TRUE(cluster.Violations().empty());
}

TEST(AgreedLog, AHostReturningFromAPartitionDoesNotDisruptTheLeader) {
  LogCluster cluster(3);
  cluster.RunFor(kElectionTime);
  HostName silent;
  for (const HostName& host : cluster.Names()) {
    silent = host == cluster.Leader() ? silent : host;
  }
  cluster.Partition({silent});
  cluster.RunFor(milliseconds(60'000));
  const HostName leader = cluster.Leader();
  const Term term = cluster.Log(leader).CurrentTerm();
  cluster.Heal();
  cluster.RunFor(kElectionTime);
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.Log(leader).CurrentTerm(), term);
}

TEST(AgreedLog, ReplacesAFailedVoterAndThenSurvivesAnotherFailure) {
  LogCluster cluster(3, 1);
  cluster.RunFor(kElectionTime);
  ASSERT_TRUE(cluster.Propose("before"));
  cluster.RunFor(milliseconds(1'000));
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
  cluster.RunFor(milliseconds(2'000));
  ASSERT_TRUE(cluster.RemoveVoter(lost));
  cluster.RunFor(milliseconds(2'000));
  cluster.Crash(other);
  cluster.RunFor(kElectionTime);
  ASSERT_TRUE(cluster.Propose("after"));
  cluster.RunFor(milliseconds(2'000));
  EXPECT_EQ(cluster.Applied(HostName("host-3")),
            (std::vector<std::string>{"before", "after"}));
}

//! Guards against two leaders that each append another change of voters, of
//! which the majorities need not overlap.
TEST(AgreedLog, ANewLeaderChangesNoVotersBeforeItsTermHasACommittedEntry) {
  LogCluster cluster(5, 1);
  cluster.RunFor(kElectionTime);
  const HostName old = cluster.Leader();
  ASSERT_FALSE(old.IsEmpty());
  cluster.Crash(old);
  const auto is_led = [&] {
    for (const HostName& host : cluster.Names()) {
      if (cluster.IsUp(host) && cluster.Log(host).IsLeader()) {
        return true;
      }
    }
    return false;
  };
  for (int step = 0; step < 10'000 && !is_led(); ++step) {
    if (cluster.Pending() == 0) {
      cluster.Advance(milliseconds(10));
    } else {
      cluster.Deliver(0, false);
    }
    for (const HostName& host : cluster.Names()) {
      if (!is_led()) {
        cluster.Persist(host);
      }
    }
  }
  ASSERT_TRUE(is_led());
  EXPECT_FALSE(cluster.RemoveVoter(old));
  EXPECT_FALSE(cluster.AddVoter(HostName("host-5")));
  cluster.RunFor(milliseconds(500));
  EXPECT_TRUE(cluster.RemoveVoter(old));
}

TEST(AgreedLog, ALeaderThatRemovesItselfStepsDownAndAnotherIsElected) {
  LogCluster cluster(3);
  cluster.RunFor(kElectionTime);
  const HostName old = cluster.Leader();
  ASSERT_TRUE(cluster.Propose("before"));
  ASSERT_TRUE(cluster.RemoveVoter(old));
  cluster.RunFor(milliseconds(20'000));
  ASSERT_FALSE(cluster.Leader().IsEmpty());
  EXPECT_NE(cluster.Leader(), old);
  EXPECT_EQ(cluster.Log(cluster.Leader()).Voters().size(), 2U);
}

TEST(AgreedLog, AHostThatLostItsDiskVotesAgainOnceItHasCaughtUp) {
  LogCluster cluster(3);
  cluster.RunFor(kElectionTime);
  ASSERT_TRUE(cluster.Propose("kept"));
  cluster.RunFor(milliseconds(1'000));
  const HostName leader = cluster.Leader();
  HostName wiped;
  for (const HostName& host : cluster.Names()) {
    wiped = host == leader ? wiped : host;
  }
  cluster.Crash(wiped);
  cluster.LoseDisk(wiped);
  cluster.Restart(wiped);
  cluster.RunFor(milliseconds(3'000));
  cluster.Crash(leader);
  cluster.RunFor(milliseconds(20'000));
  ASSERT_FALSE(cluster.Leader().IsEmpty());
  EXPECT_EQ(cluster.Applied(wiped), std::vector<std::string>{"kept"});
}

//! Guards against two voters that can never elect a leader again: the leader
//! removes itself and is partitioned before the entry reaches the other voter,
//! which then cannot win an election without the vote of the leader that is
//! being removed.
TEST(AgreedLog, ALeaderPartitionedDuringItsOwnRemovalReturnsToCommitIt) {
  LogCluster cluster(2);
  cluster.RunFor(kElectionTime);
  const HostName old = cluster.Leader();
  cluster.Partition({old});
  ASSERT_TRUE(cluster.RemoveVoter(old));
  cluster.RunFor(kElectionTime);
  cluster.Heal();
  cluster.RunFor(milliseconds(20'000));
  ASSERT_FALSE(cluster.Leader().IsEmpty());
  EXPECT_NE(cluster.Leader(), old);
}

//! Guards against a cluster that can never elect a leader again: the leader and
//! a newly added host are the only voters left, and the new host has not yet
//! received the entry that made it a voter.
TEST(AgreedLog, AVoterThatHasNotReceivedItsMembershipEntryVotes) {
  LogCluster cluster(3, 1);
  cluster.RunFor(kElectionTime);
  const HostName leader = cluster.Leader();
  const HostName spare("host-3");
  ASSERT_TRUE(cluster.AddVoter(spare));
  cluster.RunFor(milliseconds(150));
  cluster.Partition({spare});
  for (const HostName& host : cluster.Names()) {
    if (host != leader && host != spare) {
      cluster.RemoveVoter(host);
      cluster.RunFor(milliseconds(300));
    }
  }
  cluster.Crash(leader);
  cluster.Restart(leader);
  cluster.Heal();
  cluster.RunFor(milliseconds(30'000));
  EXPECT_FALSE(cluster.Leader().IsEmpty());
}

TEST(AgreedLog, AHostThatLostItsDiskDoesNotVoteUntilItHasCaughtUp) {
  LogCluster cluster(3);
  cluster.RunFor(kElectionTime);
  ASSERT_TRUE(cluster.Propose("kept"));
  cluster.RunFor(milliseconds(1'000));
  const HostName leader = cluster.Leader();
  std::vector<HostName> followers;
  for (const HostName& host : cluster.Names()) {
    if (host != leader) {
      followers.push_back(host);
    }
  }
  cluster.Partition({leader});
  cluster.Crash(followers[0]);
  cluster.LoseDisk(followers[0]);
  cluster.Restart(followers[0]);
  cluster.Crash(followers[1]);
  cluster.Restart(followers[1]);
  cluster.RunFor(milliseconds(20'000));
  EXPECT_TRUE(cluster.Leader().IsEmpty());
  cluster.Heal();
  cluster.RunFor(milliseconds(20'000));
  EXPECT_EQ(cluster.Applied(followers[0]), std::vector<std::string>{"kept"});
  EXPECT_TRUE(cluster.Violations().empty());
}

//! Guards against a host that was being added as a voter and names the leader
//! of that time ever after, so that what it and its region send there is lost.
TEST(AgreedLog, AHostThatIsNoVoterForgetsALeaderThatItHearsNothingOf) {
  LogCluster cluster(3, 1);
  cluster.RunFor(kElectionTime);
  const HostName leader = cluster.Leader();
  const HostName spare("host-3");
  while (cluster.Pending() > 0) {
    cluster.Drop(0);
  }
  ASSERT_TRUE(cluster.AddVoter(spare));
  cluster.Deliver(cluster.Pending() - 1, false);
  ASSERT_TRUE(cluster.RemoveVoter(spare));
  ASSERT_EQ(cluster.Log(spare).Leader(), leader);
  cluster.RunFor(kElectionTime);
  EXPECT_FALSE(cluster.Log(leader).Voters().contains(spare));
  EXPECT_TRUE(cluster.Log(spare).Leader().IsEmpty());
}

TEST(AgreedLog, AHostFarBehindCatchesUpFromASnapshot) {
  LogCluster cluster(3);
  cluster.RunFor(kElectionTime);
  HostName behind;
  for (const HostName& host : cluster.Names()) {
    behind = host == cluster.Leader() ? behind : host;
  }
  cluster.Crash(behind);
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(cluster.Propose(std::to_string(i)));
    cluster.RunFor(milliseconds(100));
  }
  cluster.Compact(cluster.Leader());
  cluster.RunFor(milliseconds(500));
  cluster.Restart(behind);
  cluster.RunFor(milliseconds(4'000));
  EXPECT_EQ(cluster.Applied(behind).size(), 20U);
}

//! Performs the event selected by `action`: a fault of the network, a disk or a
//! host, an operator's change, or normal progress.
void RunAction(LogCluster& cluster, int action, std::size_t choice, int& next) {
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
      cluster.Partition({host});
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

void RunRandomActions(LogCluster& cluster, int steps) {
  int next = 0;
  cluster.RunFor(kElectionTime);
  for (int i = 0; i < steps; ++i) {
    const int action = *rc::gen::inRange(0, 40);
    const auto choice = static_cast<std::size_t>(*rc::gen::inRange(0, 1000));
    RunAction(cluster, action, choice, next);
  }
}

RC_GTEST_PROP(AgreedLog, NoFaultMakesHostsDiverge, ()) {
  LogCluster cluster(3, 1);
  RunRandomActions(cluster, 400);
  cluster.Heal();
  for (const HostName& host : cluster.Names()) {
    cluster.Restart(host);
  }
  cluster.RunFor(milliseconds(30'000));
  RC_ASSERT(cluster.Violations().empty());
  RC_ASSERT(!cluster.Leader().IsEmpty());
  const HostName leader = cluster.Leader();
  for (const HostName& host : cluster.Log(leader).Voters()) {
    RC_ASSERT(cluster.Applied(host) == cluster.Applied(leader));
  }
}

TEST(AgreedLog, ALeaderWhoseDiskStallsTransfersLeadership) {
  LogCluster cluster(3);
  cluster.RunFor(kElectionTime);
  const HostName former = cluster.Leader();
  ASSERT_FALSE(former.IsEmpty());
  cluster.StallDisk(former);
  ASSERT_TRUE(cluster.Propose("one"));
  const LogOptions options;
  // Less than an election timeout after the leader has resigned.
  cluster.RunFor(options.election_timeout + milliseconds(700));
  const HostName next = cluster.Leader();
  ASSERT_FALSE(next.IsEmpty());
  EXPECT_NE(next, former);
  EXPECT_EQ(cluster.Log(next).CurrentAsOf(cluster.Now()), cluster.Now());
  EXPECT_EQ(cluster.Applied(next), std::vector<std::string>({"one"}));
  cluster.ResumeDisk(former);
  cluster.RunFor(milliseconds(5'000));
  EXPECT_EQ(cluster.Leader(), next);
  EXPECT_EQ(cluster.Applied(former), cluster.Applied(next));
  EXPECT_TRUE(cluster.Violations().empty());
}

// Guards against a leader that resigns although no other voter is ahead of it.
TEST(AgreedLog, ALeaderWhoseWriteWaitsStaysWhileNothingIsCommitted) {
  LogCluster cluster(3);
  cluster.RunFor(kElectionTime);
  const HostName leader = cluster.Leader();
  ASSERT_FALSE(leader.IsEmpty());
  const std::vector<HostName> names = cluster.Names();
  cluster.StallDisk(leader);
  // One of the three writes, and answers heartbeats; two would commit.
  cluster.StallDisk(names[names.front() == leader ? 1 : 0]);
  ASSERT_TRUE(cluster.Propose("one"));
  cluster.RunFor(milliseconds(10'000));
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_TRUE(cluster.Applied(names.back()).empty());
  EXPECT_EQ(cluster.Log(leader).CurrentAsOf(cluster.Now()), cluster.Now());
}

//! Returns the replies to appends among `effects`.
std::vector<AppendReply> RepliesIn(const LogEffects& effects) {
  std::vector<AppendReply> replies;
  for (const LogSend& send : effects.sends) {
    if (const auto* reply = std::get_if<AppendReply>(&send.message)) {
      replies.push_back(*reply);
    }
  }
  return replies;
}

//! Returns a message with the first entry of the first term.
AppendRequest FirstAppend() {
  AppendRequest request;
  request.term = 1;
  LogEntry entry;
  entry.index = 1;
  entry.term = 1;
  request.entries.push_back(entry);
  return request;
}

// Guards against a leader that loses its lease while a voter's disk is slow or
// writes a snapshot.
TEST(AgreedLog, HeartbeatIsAnsweredWhileACommitIndexIsWritten) {
  const HostName leader("a");
  const TimePoint now{std::chrono::hours(1)};
  SeededRandom random(3);
  AgreedLog log(HostName("b"), {}, {leader, HostName("b"), HostName("c")}, {},
                random, now);
  LogEffects effects = log.Receive(leader, FirstAppend(), now);
  EXPECT_TRUE(RepliesIn(effects).empty());
  ASSERT_EQ(effects.batches.size(), 1U);
  EXPECT_EQ(RepliesIn(log.Persisted(effects.batches[0].ticket, now)).size(),
            1U);
  AppendRequest heartbeat;
  heartbeat.term = 1;
  heartbeat.previous_index = 1;
  heartbeat.previous_term = 1;
  heartbeat.commit = 1;
  effects = log.Receive(leader, heartbeat, now);
  ASSERT_EQ(effects.batches.size(), 1U);
  EXPECT_EQ(effects.batches[0].commit, 1U);
  EXPECT_EQ(RepliesIn(log.Receive(leader, heartbeat, now)).size(), 1U);
}

bool AsksForVotes(const LogEffects& effects) {
  return std::any_of(effects.sends.begin(), effects.sends.end(),
                     [](const LogSend& send) {
                       return std::holds_alternative<VoteRequest>(send.message);
                     });
}

// Guards against elections that wait for a host which cannot write its vote,
// and to which the others yield.
TEST(AgreedLog, AHostWhoseDiskStallsDoesNotStandForElection) {
  const HostName leader("a");
  TimePoint now{std::chrono::hours(1)};
  SeededRandom random(3);
  AgreedLog log(HostName("b"), {}, {leader, HostName("b"), HostName("c")}, {},
                random, now);
  const LogEffects effects = log.Receive(leader, FirstAppend(), now);
  ASSERT_EQ(effects.batches.size(), 1U);
  now += milliseconds(10'000);
  EXPECT_FALSE(AsksForVotes(log.Tick(now)));
  log.Persisted(effects.batches[0].ticket, now);
  EXPECT_TRUE(AsksForVotes(log.Tick(now)));
}

TEST(AgreedLog, TheCheckerDetectsEntriesAcknowledgedBeforeTheyAreWritten) {
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
  cluster.RunFor(milliseconds(10'000));
  ASSERT_TRUE(cluster.Propose("other"));
  cluster.RunFor(milliseconds(2'000));
  EXPECT_FALSE(cluster.Violations().empty());
}

}  // namespace
}  // namespace tamarackwing::state
