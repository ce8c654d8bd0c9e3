#include "tamarackwing/control/voter_keeper.h"

#include <gtest/gtest.h>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

//! Voters a to e, led by `a`, of which `b` falls silent.
class VoterKeeperTest : public testing::Test {
 protected:
  VoterKeeperTest() {
    this->options.voters = 5;
    for (const char* name : {"a", "b", "c", "d", "e"}) {
      this->Join(name);
      this->voters.insert(HostName(name));
    }
  }

  void Join(const std::string& name) {
    state::HostRecord host;
    host.name = HostName(name);
    host.region = RegionName("muscat");
    host.has_disk = true;
    this->index += 1;
    this->state.Apply(this->index, state::EncodeChange(state::PutHost{host}));
    this->keeper.NoteHosts(this->state.Hosts(), this->clock.Now());
  }

  //! Lets time pass in which all but `silent` reply to this leader.
  void Listen(milliseconds time, const std::set<HostName>& silent) {
    constexpr milliseconds kStep{100};
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      this->clock.Advance(kStep);
      for (const HostName& voter : this->voters) {
        if (!silent.contains(voter)) {
          this->replies[voter] = this->clock.Now();
        }
      }
      this->replies.erase(HostName("a"));
      this->keeper.NoteReplies(this->replies, this->clock.Now());
    }
  }

  void StartTerm() {
    this->keeper.StartTerm(this->clock.Now());
    for (const HostName& voter : this->voters) {
      this->replies[voter] = this->clock.Now();
    }
    this->replies.erase(HostName("a"));
  }

  HostName NextAdded() {
    for (const auto& [name, host] : this->state.Hosts()) {
      HostStatus status;
      status.record = host;
      this->monitor.NoteStatus(status, this->clock.Now());
    }
    return this->keeper
        .NextChange(this->voters, this->state, this->monitor, this->clock.Now())
        .add;
  }

  const HostName b{"b"};
  ControlOptions options;
  ManualClock clock;
  state::ControlState state;
  HostMonitor monitor{std::chrono::seconds(3)};
  LogIndex index = 0;
  std::set<HostName> voters;
  std::map<HostName, TimePoint> replies;
  VoterKeeper keeper{options, clock.Now()};
};

TEST_F(VoterKeeperTest, HostThatJoinsWhileVoterIsSilentReplacesItSoon) {
  this->StartTerm();
  this->Listen(milliseconds(5'000), {});
  this->Listen(milliseconds(1'000), {this->b});
  this->Join("new");
  EXPECT_TRUE(this->NextAdded().IsEmpty());
  this->Listen(this->keeper.SuccessorWait(), {this->b});
  EXPECT_EQ(this->NextAdded(), HostName("new"));
}

// Guards against voters that move to the other side of each short cut.
TEST_F(VoterKeeperTest, HostThatStoodByReplacesVoterOnlyAfterLongSilence) {
  this->Join("spare");
  this->StartTerm();
  this->Listen(milliseconds(5'000), {});
  this->Listen(this->options.voter_lost - milliseconds(500), {this->b});
  EXPECT_TRUE(this->NextAdded().IsEmpty());
  this->Listen(milliseconds(1'000), {this->b});
  EXPECT_EQ(this->NextAdded(), HostName("spare"));
}

TEST_F(VoterKeeperTest, VoterThatRepliesAgainIsNotReplaced) {
  this->StartTerm();
  this->Listen(milliseconds(5'000), {});
  this->Listen(milliseconds(1'000), {this->b});
  this->Join("new");
  this->Listen(milliseconds(500), {});
  this->Listen(this->keeper.SuccessorWait() - milliseconds(100), {this->b});
  EXPECT_TRUE(this->NextAdded().IsEmpty());
}

TEST_F(VoterKeeperTest, VoterThatHasDrainedIsReplacedByHostThatJoinedBefore) {
  this->StartTerm();
  this->Listen(milliseconds(5'000), {});
  this->Join("new");
  this->Listen(milliseconds(1'000), {});
  this->index += 1;
  this->state.Apply(this->index,
                    state::EncodeChange(state::DrainHost{this->b, true}));
  this->Listen(this->keeper.SuccessorWait(), {this->b});
  EXPECT_EQ(this->NextAdded(), HostName("new"));
}

// Guards against a process that takes each successor for a host that stood by,
// because it found it in its journal.
TEST_F(VoterKeeperTest, VoterThatWasNeverHeardIsReplacedByAnyHost) {
  this->Join("new");
  this->StartTerm();
  this->Listen(this->keeper.SuccessorWait(), {this->b});
  EXPECT_EQ(this->NextAdded(), HostName("new"));
}

// Guards against a silence that begins anew with each leader, and so never
// lasts long enough.
TEST_F(VoterKeeperTest, SilenceGoesOnCountingUnderTheNextLeader) {
  this->StartTerm();
  this->Listen(milliseconds(5'000), {});
  this->Listen(milliseconds(1'000), {this->b});
  this->Join("new");
  const TimePoint joined = this->clock.Now();
  VoterKeeper next(this->options, this->clock.Now());
  next.NoteHosts(this->state.Hosts(), joined);
  for (int term = 0; term < 2; ++term) {
    this->Listen(this->keeper.SuccessorWait() / 4, {this->b});
    next.NoteReport(HostName("a"), this->keeper.Report(this->clock.Now()),
                    this->clock.Now());
    // An election.
    this->clock.Advance(this->options.log.election_timeout);
    next.StartTerm(this->clock.Now());
    this->keeper = next;
    this->StartTerm();
  }
  this->Listen(this->options.log.election_timeout, {this->b});
  EXPECT_EQ(this->NextAdded(), HostName("new"));
}

// Guards against a leader that was itself cut off and takes the others for
// lost.
TEST_F(VoterKeeperTest, TimeInWhichNobodyListenedDoesNotCount) {
  this->StartTerm();
  this->Listen(milliseconds(5'000), {});
  VoterKeeper next(this->options, this->clock.Now());
  next.NoteHosts(this->state.Hosts(), this->clock.Now());
  next.NoteReport(HostName("a"), this->keeper.Report(this->clock.Now()),
                  this->clock.Now());
  this->clock.Advance(2 * this->options.voter_lost);
  this->Join("new");
  next.NoteHosts(this->state.Hosts(), this->clock.Now());
  next.StartTerm(this->clock.Now());
  this->keeper = next;
  this->StartTerm();
  this->Listen(this->options.log.election_timeout, {this->b});
  EXPECT_TRUE(this->keeper.LostVoters(this->clock.Now()).empty());
}

TEST_F(VoterKeeperTest, NobodyIsLostBeforeThereWasTimeToReply) {
  this->StartTerm();
  this->Listen(milliseconds(5'000), {});
  this->Listen(2 * this->options.voter_lost, {this->b});
  this->StartTerm();
  EXPECT_TRUE(this->keeper.LostVoters(this->clock.Now()).empty());
  this->Listen(this->options.log.election_timeout, {this->b});
  EXPECT_EQ(this->keeper.LostVoters(this->clock.Now()).size(), 1U);
}

// Guards against a silence that begins anew with each process, when all end at
// the same time.
TEST_F(VoterKeeperTest, VoterIsLostIfItIsSilentFromTheStartOfTheProcess) {
  VoterKeeper next(this->options, this->clock.Now());
  next.NoteHosts(this->state.Hosts(), this->clock.Now());
  this->clock.Advance(this->keeper.SuccessorWait());
  this->keeper = next;
  this->StartTerm();
  this->Listen(milliseconds(1'000), {this->b});
  ASSERT_EQ(this->keeper.LostVoters(this->clock.Now()).size(), 1U);
  EXPECT_EQ(this->keeper.LostVoters(this->clock.Now()).front().host, this->b);
}

// Guards against a host that catches up in vain again and again, while another
// one could.
TEST_F(VoterKeeperTest, HostThatWasGivenUpComesLast) {
  this->StartTerm();
  this->Listen(milliseconds(5'000), {});
  this->Listen(milliseconds(1'000), {this->b});
  this->Join("new-1");
  this->Join("new-2");
  this->Listen(this->keeper.SuccessorWait(), {this->b});
  ASSERT_EQ(this->NextAdded(), HostName("new-1"));
  const auto wait = [&](const char* joining) {
    return this->keeper.JoinWait(HostName(joining), this->voters, this->state,
                                 this->monitor, this->clock.Now());
  };
  EXPECT_EQ(wait("new-1"), this->keeper.SuccessorWait());
  this->keeper.NoteGivenUp(HostName("new-1"));
  EXPECT_EQ(this->NextAdded(), HostName("new-2"));
  EXPECT_EQ(wait("new-2"), this->options.voter_lost);
}

TEST_F(VoterKeeperTest, ReporterThatNoLongerLedIsNotTakenForSilent) {
  this->keeper.NoteReport(this->b, {}, this->clock.Now());
  this->clock.Advance(2 * this->options.voter_lost);
  this->StartTerm();
  this->Listen(milliseconds(1'000), {this->b});
  EXPECT_TRUE(this->keeper.LostVoters(this->clock.Now()).empty());
}

TEST_F(VoterKeeperTest, VoterSilentForLongestIsReplacedFirst) {
  this->StartTerm();
  this->Listen(milliseconds(5'000), {});
  this->Listen(milliseconds(1'000), {HostName("d")});
  this->Listen(this->keeper.SuccessorWait(), {this->b, HostName("d")});
  const std::vector<VoterSilence> lost =
      this->keeper.LostVoters(this->clock.Now());
  ASSERT_EQ(lost.size(), 2U);
  EXPECT_EQ(lost.front().host, HostName("d"));
}

TEST_F(VoterKeeperTest, SuccessorWaitIsHalfOfWhatTheDeploymentStates) {
  this->options.catch_up = milliseconds(6'000);
  EXPECT_EQ(this->keeper.SuccessorWait(), milliseconds(3'000));
  this->options.catch_up = milliseconds(1'000);
  EXPECT_EQ(this->keeper.SuccessorWait(), this->options.log.election_timeout);
  this->options.catch_up = milliseconds(60'000);
  EXPECT_EQ(this->keeper.SuccessorWait(), this->options.voter_lost);
}

TEST_F(VoterKeeperTest, HealthTellsWhoIsLostAndHowManyLossesAreLeft) {
  const auto health = [this] {
    return this->keeper.Health(this->voters, HostName("new"), this->clock.Now())
        .value();
  };
  this->StartTerm();
  this->Listen(milliseconds(5'000), {});
  EXPECT_TRUE(health().lost.empty());
  EXPECT_EQ(health().losses_left, 2U);
  EXPECT_EQ(health().joining, HostName("new"));
  this->Listen(this->keeper.SuccessorWait(), {this->b});
  ASSERT_EQ(health().lost.size(), 1U);
  EXPECT_EQ(health().lost.front().host, this->b);
  EXPECT_EQ(health().lost.front().silence, this->keeper.SuccessorWait());
  EXPECT_EQ(health().losses_left, 1U);
  this->Listen(this->keeper.SuccessorWait(), {this->b, HostName("d")});
  ASSERT_EQ(health().lost.size(), 2U);
  EXPECT_EQ(health().lost.front().host, this->b);
  EXPECT_EQ(health().losses_left, 0U);
  this->Listen(this->keeper.SuccessorWait(),
               {this->b, HostName("c"), HostName("d")});
  EXPECT_EQ(health().lost.size(), 3U);
  EXPECT_EQ(health().losses_left, 0U);
  this->Listen(milliseconds(100), {HostName("d")});
  ASSERT_EQ(health().lost.size(), 1U);
  EXPECT_EQ(health().lost.front().host, HostName("d"));
  EXPECT_EQ(health().losses_left, 1U);
}

TEST_F(VoterKeeperTest, LostHostThatIsNoVoterAnyMoreDoesNotCount) {
  this->StartTerm();
  this->Listen(milliseconds(5'000), {});
  this->Listen(this->keeper.SuccessorWait(), {this->b});
  this->voters.erase(this->b);
  this->voters.insert(HostName("new"));
  const std::optional<VoterHealth> health =
      this->keeper.Health(this->voters, HostName(), this->clock.Now());
  ASSERT_TRUE(health);
  EXPECT_TRUE(health->lost.empty());
  EXPECT_EQ(health->losses_left, 2U);
}

// Guards against a new leader that reports all voters as well before it has
// heard any.
TEST_F(VoterKeeperTest, HealthIsUnknownBeforeThereWasTimeToReply) {
  this->StartTerm();
  this->Listen(3 * this->options.log.heartbeat - milliseconds(100), {this->b});
  EXPECT_FALSE(
      this->keeper.Health(this->voters, HostName(), this->clock.Now()));
  this->Listen(milliseconds(100), {this->b});
  EXPECT_TRUE(this->keeper.Health(this->voters, HostName(), this->clock.Now()));
}

}  // namespace
}  // namespace tamarackwing::control
