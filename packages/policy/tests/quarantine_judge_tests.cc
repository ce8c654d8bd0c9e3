//! Tests of the leader's decision which blocks of prompts crash servers.

#include "tamarackwing/policy/quarantine_judge.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "tamarackwing/base/random_source.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BlockDigest kDeadly = 1;
constexpr BlockDigest kPopular = 2;
constexpr BlockDigest kRare = 3;
constexpr BlockDigest kRequest = 10'000;
constexpr BlockDigest kNeighbour = 20'000;

class QuarantineJudgeTest : public testing::Test {
 protected:
  QuarantineJudgeTest() {
    this->judge.StartTerm(1, this->now);
    this->Wait(seconds(10));
  }

  //! Reports a crash of a new server that held requests with these blocks.
  void Crash(const std::vector<BlockDigest>& blocks,
             std::uint64_t request,
             milliseconds age = milliseconds(200)) {
    ServerCrash crash{
        BackendServerName("i-" + std::to_string(this->next_server++)),
        age,
        {},
        {}};
    for (const BlockDigest block : blocks) {
      crash.suspects.push_back({block, request});
    }
    CrashReport report;
    report.crashes.push_back(std::move(crash));
    this->judge.Handle(report, this->now);
  }

  //! Reports a crash of a new server that held these whole requests.
  void CrashOf(const std::vector<BlockDigest>& requests,
               milliseconds age = milliseconds(200)) {
    CrashReport report;
    report.crashes.push_back(
        {BackendServerName("i-" + std::to_string(this->next_server++)),
         age,
         {},
         requests});
    this->judge.Handle(report, this->now);
  }

  //! Reports a crash of a new server that held one request with one block.
  void CrashOfRequestWithBlock(BlockDigest request, BlockDigest block) {
    CrashReport report;
    report.crashes.push_back(
        {BackendServerName("i-" + std::to_string(this->next_server++)),
         milliseconds(200),
         {{block, request}},
         {request}});
    this->judge.Handle(report, this->now);
  }

  void Answer(BlockDigest block, milliseconds age = milliseconds(0)) {
    CrashReport report;
    report.answered.push_back({block, age});
    this->judge.Handle(report, this->now);
  }

  //! Reports a refused request; returns whether a trial was granted.
  bool Refuse(BlockDigest block) {
    CrashReport report;
    report.refused.push_back(block);
    return !this->judge.Handle(report, this->now).trials.empty();
  }

  void Wait(milliseconds time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += milliseconds(50);
      const auto notice = this->judge.Due(this->now);
      if (notice) {
        this->last = *notice;
      }
    }
  }

  bool IsQuarantined(BlockDigest block) const {
    return std::any_of(this->last.quarantined.begin(),
                       this->last.quarantined.end(),
                       [&](const auto& one) { return one.block == block; });
  }

  //! Three crashes half a second apart, of requests with these blocks.
  void ThreeCrashes(const std::vector<BlockDigest>& blocks) {
    for (int i = 0; i < 3; ++i) {
      this->Crash(blocks, this->next_request++);
      this->Wait(milliseconds(500));
    }
    this->Wait(seconds(1));
  }

  QuarantineJudge judge{QuarantineOptions()};
  TimePoint now{std::chrono::hours(1)};
  QuarantineNotice last;
  std::uint64_t next_request = 100;
  int next_server = 1;
};

TEST_F(QuarantineJudgeTest, BlockOfThreeCrashesIsQuarantinedWithinTwoSeconds) {
  for (int i = 0; i < 3; ++i) {
    this->Crash({kDeadly}, this->next_request++);
    this->Wait(milliseconds(250));
  }
  this->Wait(milliseconds(1'000));
  EXPECT_TRUE(this->IsQuarantined(kDeadly));
}

TEST_F(QuarantineJudgeTest, PopularBlockInEachCrashIsClearedByItsAnswers) {
  for (int i = 0; i < 5; ++i) {
    this->Crash({kDeadly, kPopular}, this->next_request++);
    this->Wait(milliseconds(300));
    this->Answer(kPopular);
    this->Wait(milliseconds(200));
  }
  this->Wait(seconds(1));
  EXPECT_TRUE(this->IsQuarantined(kDeadly));
  EXPECT_FALSE(this->IsQuarantined(kPopular));
}

TEST_F(QuarantineJudgeTest, BlockBesideTheCauseIsNotQuarantinedWithIt) {
  this->Crash({kDeadly}, 1);
  this->Wait(milliseconds(400));
  for (std::uint64_t i = 2; i < 5; ++i) {
    this->Crash({kDeadly, kRare}, i);
    this->Wait(milliseconds(400));
  }
  this->Wait(seconds(2));
  EXPECT_TRUE(this->IsQuarantined(kDeadly));
  EXPECT_FALSE(this->IsQuarantined(kRare));
}

TEST_F(QuarantineJudgeTest, BlockThatWasOnceAnsweredYieldsToOneThatNeverWas) {
  for (std::uint64_t i = 1; i < 4; ++i) {
    this->Crash({kDeadly, kRare}, i);
    this->Answer(kRare, seconds(60));
    this->Wait(milliseconds(400));
  }
  this->Wait(seconds(2));
  EXPECT_TRUE(this->IsQuarantined(kDeadly));
  EXPECT_FALSE(this->IsQuarantined(kRare));
}

TEST_F(QuarantineJudgeTest, TwoCausesAtOnceAreBothQuarantined) {
  for (std::uint64_t i = 1; i < 5; ++i) {
    this->Crash({kDeadly}, i);
    this->Wait(milliseconds(200));
    this->Crash({kRare}, 100 + i);
    this->Wait(milliseconds(200));
  }
  this->Wait(seconds(1));
  EXPECT_TRUE(this->IsQuarantined(kDeadly));
  EXPECT_TRUE(this->IsQuarantined(kRare));
}

TEST_F(QuarantineJudgeTest, ServersThatLosePowerTogetherAreOneEvent) {
  for (std::uint64_t i = 0; i < 9; ++i) {
    this->Crash({kRare}, i);
  }
  this->Wait(seconds(2));
  EXPECT_FALSE(this->IsQuarantined(kRare));
}

TEST_F(QuarantineJudgeTest, OneRequestAndItsRetriesAreNotEnough) {
  for (int i = 0; i < 4; ++i) {
    this->Crash({kRare}, 7);
    this->Wait(milliseconds(500));
  }
  this->Wait(seconds(1));
  EXPECT_FALSE(this->IsQuarantined(kRare));
  this->Crash({kRare}, 7);
  this->Wait(seconds(1));
  EXPECT_TRUE(this->IsQuarantined(kRare));
}

TEST_F(QuarantineJudgeTest, ReportsOfTwoHostsAboutOneCrashCountOnce) {
  for (int i = 0; i < 2; ++i) {
    this->Crash({kDeadly}, this->next_request++);
    this->next_server -= 1;
    this->Crash({kDeadly}, this->next_request++);
    this->Wait(milliseconds(500));
  }
  this->Wait(seconds(1));
  EXPECT_FALSE(this->IsQuarantined(kDeadly));
}

TEST_F(QuarantineJudgeTest, AnswerReleasesAFalselyAccusedBlockAtOnce) {
  this->ThreeCrashes({kRare});
  ASSERT_TRUE(this->IsQuarantined(kRare));
  this->Answer(kRare);
  this->Wait(milliseconds(250));
  EXPECT_FALSE(this->IsQuarantined(kRare));
  this->Wait(seconds(5));
  EXPECT_FALSE(this->IsQuarantined(kRare));
}

TEST_F(QuarantineJudgeTest, AnswerFromBeforeTheQuarantineDoesNotReleaseIt) {
  this->ThreeCrashes({kDeadly});
  this->Answer(kDeadly, seconds(20));
  this->Wait(seconds(1));
  EXPECT_TRUE(this->IsQuarantined(kDeadly));
}

TEST_F(QuarantineJudgeTest, OneHostAtATimeGetsATrial) {
  this->ThreeCrashes({kDeadly});
  EXPECT_FALSE(this->Refuse(kDeadly));
  this->Wait(seconds(5));
  EXPECT_TRUE(this->Refuse(kDeadly));
  EXPECT_FALSE(this->Refuse(kDeadly));
}

TEST_F(QuarantineJudgeTest, LastingCauseCrashesFewServersByItsTrials) {
  this->ThreeCrashes({kDeadly});
  int trials = 0;
  for (int second = 0; second < 100; ++second) {
    if (this->Refuse(kDeadly)) {
      trials += 1;
      this->Crash({kDeadly}, this->next_request++, milliseconds(0));
    }
    this->Wait(seconds(1));
  }
  EXPECT_TRUE(this->IsQuarantined(kDeadly));
  // After 5, 20 and 80 seconds.
  EXPECT_EQ(trials, 2);
}

TEST_F(QuarantineJudgeTest, RequestsSentBeforeTheDecisionAreNoFailedTrial) {
  this->ThreeCrashes({kDeadly});
  this->Crash({kDeadly}, this->next_request++);
  this->Wait(seconds(5));
  EXPECT_TRUE(this->Refuse(kDeadly));
}

TEST_F(QuarantineJudgeTest, NewLeaderAdoptsTheQuarantineOfTheHosts) {
  this->ThreeCrashes({kDeadly});
  QuarantineJudge next{QuarantineOptions()};
  next.StartTerm(1, this->now);
  const auto early = next.Handle({}, this->now);
  EXPECT_FALSE(early.complete);
  CrashReport report;
  report.held = {{kDeadly, seconds(40), 2}};
  const QuarantineNotice notice = next.Handle(report, this->now);
  ASSERT_EQ(notice.quarantined.size(), 1U);
  EXPECT_EQ(notice.quarantined[0].failed_trials, 2U);
  EXPECT_EQ(notice.quarantined[0].next_trial, seconds(40));
  const auto later = next.Due(this->now + seconds(4));
  ASSERT_TRUE(later.has_value());
  EXPECT_TRUE(later->complete);
  EXPECT_EQ(later->quarantined.size(), 1U);
}

TEST_F(QuarantineJudgeTest, RequestThatCrashedThreeServersIsQuarantined) {
  for (int i = 0; i < 3; ++i) {
    EXPECT_FALSE(this->IsQuarantined(kRequest));
    this->CrashOf({kRequest});
    this->Wait(milliseconds(250));
  }
  this->Wait(seconds(1));
  EXPECT_TRUE(this->IsQuarantined(kRequest));
}

TEST_F(QuarantineJudgeTest, RequestsBesideTheCauseAreNotQuarantinedWithIt) {
  this->CrashOf({kRequest, kNeighbour});
  this->Wait(milliseconds(300));
  this->CrashOf({kRequest, kNeighbour + 1});
  this->Wait(milliseconds(300));
  this->CrashOf({kRequest, kNeighbour, kNeighbour + 1});
  this->Wait(milliseconds(300));
  this->CrashOf({kRequest, kNeighbour, kNeighbour + 1});
  this->Wait(seconds(2));
  EXPECT_TRUE(this->IsQuarantined(kRequest));
  EXPECT_FALSE(this->IsQuarantined(kNeighbour));
  EXPECT_FALSE(this->IsQuarantined(kNeighbour + 1));
}

TEST_F(QuarantineJudgeTest, NeighbourInEachCrashIsClearedByItsAnswer) {
  for (int i = 0; i < 4; ++i) {
    this->CrashOf({kRequest, kNeighbour});
    this->Wait(milliseconds(300));
  }
  this->Answer(kNeighbour);
  this->Wait(seconds(2));
  EXPECT_TRUE(this->IsQuarantined(kRequest));
  EXPECT_FALSE(this->IsQuarantined(kNeighbour));
}

TEST_F(QuarantineJudgeTest, TwoRequestsAtOnceAreBothQuarantined) {
  for (int i = 0; i < 3; ++i) {
    this->CrashOf({kRequest});
    this->Wait(milliseconds(150));
    this->CrashOf({kNeighbour});
    this->Wait(milliseconds(150));
  }
  this->Wait(seconds(2));
  EXPECT_TRUE(this->IsQuarantined(kRequest));
  EXPECT_TRUE(this->IsQuarantined(kNeighbour));
}

TEST_F(QuarantineJudgeTest, BlockOfOneQuarantinedRequestIsNotAccused) {
  for (int i = 0; i < 8; ++i) {
    this->CrashOfRequestWithBlock(kRequest, kRare);
    this->Wait(milliseconds(300));
  }
  this->Wait(seconds(2));
  EXPECT_TRUE(this->IsQuarantined(kRequest));
  EXPECT_FALSE(this->IsQuarantined(kRare));
}

TEST_F(QuarantineJudgeTest, BlockIsFoundThoughARequestWithItWasQuarantined) {
  for (int i = 0; i < 3; ++i) {
    this->CrashOfRequestWithBlock(kRequest, kDeadly);
    this->Wait(milliseconds(300));
  }
  this->Wait(seconds(1));
  ASSERT_TRUE(this->IsQuarantined(kRequest));
  ASSERT_FALSE(this->IsQuarantined(kDeadly));
  this->CrashOfRequestWithBlock(kNeighbour, kDeadly);
  this->Wait(seconds(1));
  EXPECT_TRUE(this->IsQuarantined(kDeadly));
}

TEST_F(QuarantineJudgeTest, CauseIsWatchedHoweverManyOthersStoodInTwoCrashes) {
  const QuarantineOptions options;
  std::vector<BlockDigest> requests = {kRequest + 1'000};
  for (std::size_t i = 0; i < 2 * options.max_watched; ++i) {
    requests.push_back(kRequest + i);
  }
  this->CrashOf(requests);
  this->Wait(milliseconds(300));
  this->CrashOf(requests);
  this->Wait(milliseconds(300));
  this->CrashOf({kRequest + 1'000});
  this->Wait(seconds(2));
  EXPECT_TRUE(this->IsQuarantined(kRequest + 1'000));
}

TEST_F(QuarantineJudgeTest, IdleRequestsMakeRoomForNewOnes) {
  const QuarantineOptions options;
  for (std::size_t i = 0; i <= options.max_quarantined; ++i) {
    for (int crash = 0; crash < 3; ++crash) {
      this->CrashOf({kRequest + i});
      this->Wait(milliseconds(150));
    }
    this->Wait(seconds(1));
    EXPECT_TRUE(this->IsQuarantined(kRequest + i)) << i;
  }
  EXPECT_EQ(this->last.quarantined.size(), options.max_quarantined);
}

TEST_F(QuarantineJudgeTest, LeaderAsksTheHostsAtTheBeginningOfEachTerm) {
  this->ThreeCrashes({kDeadly});
  this->judge.StartTerm(2, this->now);
  const auto first = this->judge.Due(this->now + milliseconds(50));
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->term, 2U);
  EXPECT_FALSE(first->complete);
  const auto second = this->judge.Due(this->now + seconds(2));
  EXPECT_TRUE(second.has_value()) << "the first may be lost";
}

TEST_F(QuarantineJudgeTest, NewLeaderRepeatsNoTrialThatIsUnderWay) {
  this->ThreeCrashes({kDeadly});
  this->Wait(seconds(5));
  ASSERT_TRUE(this->Refuse(kDeadly));
  this->Wait(milliseconds(250));
  QuarantineJudge next{QuarantineOptions()};
  next.StartTerm(1, this->now);
  const milliseconds passed = seconds(2);
  QuarantinedBlock held = this->last.quarantined.at(0);
  held.next_trial = std::max(milliseconds(0), held.next_trial - passed);
  CrashReport report;
  // A host that missed the last notice, and one that did not.
  report.held = {{kDeadly, seconds(0), 0}, held};
  report.refused = {kDeadly};
  EXPECT_TRUE(next.Handle(report, this->now + passed).trials.empty());
}

TEST_F(QuarantineJudgeTest, AnswersAreForgottenWithTheirLastCrash) {
  const QuarantineOptions options;
  for (BlockDigest request = kRequest; request < kRequest + 1'000; ++request) {
    this->CrashOf({request});
    this->Answer(request);
    this->Wait(milliseconds(150));
  }
  EXPECT_LE(this->judge.RememberedAnswers(), options.max_crashes);
}

//! A fleet with sound blocks, servers that crash for other reasons, and one
//! deadly block.
class RandomFleet {
 public:
  static constexpr milliseconds kDemand{3'000};
  static constexpr milliseconds kTrialLife{8'000};

  explicit RandomFleet(std::uint64_t seed) : random(seed) {
    this->judge.StartTerm(1, this->now);
    this->now += seconds(10);
  }

  //! Plays 50 milliseconds.
  void Step() {
    this->now += milliseconds(50);
    CrashReport report;
    if (this->random.Below(10) == 0) {
      const bool is_deadly = this->random.Below(2) == 0;
      if (!is_deadly || this->MaySend(kDeadly)) {
        this->Crash(report, is_deadly);
      }
    }
    for (int i = 0; i < 3; ++i) {
      const BlockDigest block = this->SoundBlock();
      if (this->MaySend(block)) {
        report.answered.push_back({block, milliseconds(0)});
      }
    }
    for (const auto& [block, at] : this->refused) {
      if (this->now - at <= kDemand) {
        report.refused.push_back(block);
      }
    }
    for (const BlockDigest block :
         this->judge.Handle(report, this->now).trials) {
      this->trial_until[block] = this->now + kTrialLife;
    }
    const auto notice = this->judge.Due(this->now);
    if (notice) {
      this->Apply(*notice);
    }
  }

  bool IsDeadlyQuarantined() const {
    return this->quarantined_since.contains(kDeadly);
  }
  int DeadlyRequestsSent() const { return this->deadly_sent; }
  milliseconds LongestFalseQuarantine() const { return this->longest_false; }

 private:
  BlockDigest SoundBlock() { return 10 + this->random.Below(60); }

  void Crash(CrashReport& report, bool is_deadly) {
    ServerCrash crash{
        BackendServerName("i-" + std::to_string(this->request)), {}, {}, {}};
    if (is_deadly) {
      crash.suspects.push_back({kDeadly, this->request++});
      this->deadly_sent += 1;
    }
    for (int i = 0; i < 8; ++i) {
      const BlockDigest block = this->SoundBlock();
      if (!this->quarantined_since.contains(block)) {
        crash.suspects.push_back({block, this->request++});
      }
    }
    report.crashes.push_back(std::move(crash));
  }

  //! Returns whether a request with the block may be sent, as the host's part
  //! of the quarantine decides it.
  bool MaySend(BlockDigest block) {
    if (!this->quarantined_since.contains(block)) {
      return true;
    }
    if (this->now < this->trial_until[block]) {
      this->trial_until[block] = TimePoint();
      return true;
    }
    this->refused[block] = this->now;
    return false;
  }

  void Apply(const QuarantineNotice& notice) {
    std::map<BlockDigest, TimePoint> next;
    for (const QuarantinedBlock& one : notice.quarantined) {
      const auto known = this->quarantined_since.find(one.block);
      next[one.block] =
          known == this->quarantined_since.end() ? this->now : known->second;
      if (one.block != kDeadly) {
        this->longest_false = std::max(
            this->longest_false,
            std::chrono::ceil<milliseconds>(this->now - next[one.block]));
      }
    }
    this->quarantined_since = std::move(next);
  }

  SeededRandom random;
  QuarantineJudge judge{QuarantineOptions()};
  TimePoint now{std::chrono::hours(1)};
  std::map<BlockDigest, TimePoint> quarantined_since;
  std::map<BlockDigest, TimePoint> trial_until;
  std::map<BlockDigest, TimePoint> refused;
  std::uint64_t request = 1;
  int deadly_sent = 0;
  milliseconds longest_false{0};
};

TEST(QuarantineJudgeUnderLoad, FindsTheCauseAndSoonReleasesTheRest) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    RandomFleet fleet(seed);
    // Requests that may be sent: to reach a verdict, and then one a trial.
    int sent_at_verdict = 0;
    for (int step = 0; step < 1'000; ++step) {
      fleet.Step();
      if (sent_at_verdict == 0 && fleet.IsDeadlyQuarantined()) {
        sent_at_verdict = fleet.DeadlyRequestsSent();
      }
    }
    EXPECT_TRUE(fleet.IsDeadlyQuarantined()) << "seed " << seed;
    EXPECT_GT(sent_at_verdict, 0) << "seed " << seed;
    // The trials fall 5 and 25 s after the verdict; the next one after 105 s.
    EXPECT_LE(fleet.DeadlyRequestsSent(), sent_at_verdict + 2)
        << "seed " << seed;
    // Callers of a sound block that stood beside the cause miss it no longer.
    EXPECT_LE(fleet.LongestFalseQuarantine(), seconds(12)) << "seed " << seed;
  }
}

}  // namespace
}  // namespace tamarackwing::policy
