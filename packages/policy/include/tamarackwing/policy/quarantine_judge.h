#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/crash_messages.h"

namespace tamarackwing::policy {

//! When a block of prompts, or a whole request, is quarantined and released.
struct QuarantineOptions {
  //! Crashes at distinct moments, with no answer between, after which a whole
  //! request is quarantined, or a block that requests of at least `requests`
  //! distinct contents held.
  std::size_t crashes = 3;
  std::size_t requests = 2;
  //! As `crashes`, for a block of a single request that is not quarantined
  //! itself.
  std::size_t crashes_of_one = 5;
  //! Crashes closer together than this count as one: a common cause, such as
  //! a loss of power, strikes servers at the same time.
  std::chrono::milliseconds moment{100};
  //! Reports of the same server within this time are about the same crash.
  std::chrono::milliseconds same_crash{1'000};
  //! A block with an answer this recently before a crash is no suspect.
  std::chrono::milliseconds trusted{2'000};
  //! How long a suspected block is watched before it is quarantined, so that
  //! all hosts can report answers to it.
  std::chrono::milliseconds hearing{700};
  //! Time until the first trial; each failed trial multiplies it.
  std::chrono::milliseconds first_trial{5'000};
  std::uint32_t trial_factor = 4;
  std::chrono::milliseconds max_trial{1'200'000};
  //! Time after which a trial without an outcome may be repeated: longer than
  //! a host may use it, and its request may then take.
  std::chrono::milliseconds trial_timeout{20'000};
  //! A quarantined block without requests for this long is forgotten.
  std::chrono::milliseconds forget{3'600'000};
  //! One without requests for this long yields to a new one if there is no more
  //! room.
  std::chrono::milliseconds min_idle{10'000};
  //! How long a crash counts.
  std::chrono::milliseconds evidence{300'000};
  //! How long a new leader waits for the hosts' reports before it releases
  //! blocks that none of them reported.
  std::chrono::milliseconds settle{3'000};
  //! Interval at which an unchanged quarantine is sent again.
  std::chrono::milliseconds repeat{1'000};
  //! Min time between two evaluations of the evidence, however many reports
  //! arrive.
  std::chrono::milliseconds decide_interval{100};
  //! Min time between two notices to all hosts.
  std::chrono::milliseconds min_interval{200};
  std::size_t max_crashes = 64;
  std::size_t max_suspects = 256;
  std::size_t max_quarantined = 64;
  std::size_t max_watched = 32;
};

//! A decision of the judge, for the log.
struct QuarantineVerdict {
  enum class Kind { kQuarantined, kReleased, kTrial, kTrialFailed };
  Kind kind = Kind::kQuarantined;
  //! A block, or the content of a whole request.
  BlockDigest block = 0;
  //! Crashes that it explains.
  std::size_t crashes = 0;
  std::size_t requests = 0;
  //! Servers of these crashes, separated by commas.
  std::string servers;
  //! Age of the oldest of these crashes, or of the answer that released it.
  std::chrono::milliseconds age{0};
};

//! Decides, from the reports of all hosts, which blocks of prompts and which
//! whole requests crash servers. What crashes each server is never answered;
//! what merely stood in a crash soon is. Not thread-safe.
class QuarantineJudge {
 public:
  explicit QuarantineJudge(QuarantineOptions options);
  ~QuarantineJudge();

  //! Starts a leader's term with neither evidence nor a quarantine, and asks
  //! the hosts for theirs.
  void StartTerm(std::uint64_t term, TimePoint now);
  //! Applies a host's report and returns the reply, which may grant the host a
  //! trial.
  QuarantineNotice Handle(const CrashReport& report, TimePoint now);
  //! Returns the notice that is due for all hosts, if any: after a change at
  //! once, otherwise at intervals while blocks are watched or quarantined, or
  //! the hosts' reports are awaited.
  std::optional<QuarantineNotice> Due(TimePoint now);
  //! Returns the decisions since the last call.
  std::vector<QuarantineVerdict> TakeVerdicts();
  //! Returns the number of suspects whose last answer is remembered.
  std::size_t RememberedAnswers() const { return this->answered.size(); }

 private:
  //! A block or a whole request in one crash.
  struct Suspect {
    //! Contents of the requests that held it; a whole request holds itself.
    std::set<BlockDigest> requests;
    bool is_request = false;
  };
  struct Crash {
    BackendServerName server;
    TimePoint at;
    std::map<BlockDigest, Suspect> suspects;
  };
  struct Quarantined {
    TimePoint since;
    TimePoint next_trial;
    std::uint32_t failed_trials = 0;
    TimePoint last_refused;
    std::optional<TimePoint> trial_sent;
  };
  //! The crashes that a block or a whole request may have caused.
  struct Case {
    std::size_t moments = 0;
    //! No host remembers an answer to it.
    bool never_answered = false;
    bool is_request = false;
    //! One of the crashes held no request that is quarantined as a whole.
    bool stands_alone = false;
    std::set<BlockDigest> requests;
    std::vector<const Crash*> crashes;
  };

  void AddCrash(const ServerCrash& crash, TimePoint now);
  void AddSuspect(Crash& crash, BlockDigest content, BlockDigest request);
  void AddAnswer(const BlockAnswered& answer, TimePoint now);
  void Adopt(const QuarantinedBlock& held, TimePoint now);
  //! Returns the time until the trial after this number of failed ones.
  std::chrono::milliseconds TrialDelay(std::uint32_t failed_trials) const;
  void NoteQuarantinedCrash(BlockDigest block, TimePoint at);
  //! Returns those of the refused blocks for which the host may try a request.
  std::vector<BlockDigest> GrantTrials(const std::vector<BlockDigest>& refused,
                                       TimePoint now);
  void Release(BlockDigest block, std::chrono::milliseconds age);
  void Expire(TimePoint now);
  //! Releases, if there are `max_quarantined`, the one that has gone without
  //! requests for longest. Returns whether there is room for another.
  bool MakeRoom(TimePoint now);
  //! Quarantines blocks whose cases suffice and updates the watched ones.
  void Decide(TimePoint now);
  //! Returns the cases by the crashes that nothing in `explained` accounts for.
  //! A quarantined request does not account for the blocks that it holds.
  std::map<BlockDigest, Case> Cases(
      const std::set<BlockDigest>& explained) const;
  bool Suffices(const Case& one) const;
  //! Returns whether `a` explains the crashes better than `b`.
  static bool IsStronger(const Case& a, const Case& b);
  QuarantineNotice MakeNotice(TimePoint now) const;

  bool IsSettling(TimePoint now) const;

  QuarantineOptions options;
  std::uint64_t term = 0;
  TimePoint term_start;
  std::deque<Crash> crashes;
  std::map<BlockDigest, TimePoint> answered;
  std::map<BlockDigest, Quarantined> quarantined;
  //! Suspected blocks and requests, and since when they are watched.
  std::map<BlockDigest, TimePoint> watched;
  std::vector<QuarantineVerdict> verdicts;
  bool changed = false;
  TimePoint decided;
  TimePoint sent;
};

}  // namespace tamarackwing::policy
