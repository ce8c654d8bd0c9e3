#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/crash_messages.h"

namespace tamarackwing::policy {

//! Bounds of a crash observer.
struct CrashObserverOptions {
  //! A server whose connections broke and that has sent nothing since is
  //! considered crashed after this time; a live server that only lost a
  //! connection sends something earlier, unless it is idle.
  std::chrono::milliseconds confirm{200};
  //! Bytes that arrive this soon after the first broken connection may have
  //! been sent before it broke.
  std::chrono::milliseconds settle{50};
  //! A block with an answer this recently before a crash is no suspect.
  std::chrono::milliseconds trusted{2'000};
  //! Max crashes that wait for confirmation, and max confirmed ones.
  std::size_t crashes = 32;
  //! How long an acknowledged crash is kept for a new leader.
  std::chrono::milliseconds kept{300'000};
  //! Max suspected blocks, and max suspected requests, of one crash.
  std::size_t suspects = 64;
  //! Max blocks whose last answer is remembered.
  std::size_t answers = 4'096;
  //! An answer is reported for this long, because reports can be lost.
  std::chrono::milliseconds repeat{2'000};
  //! Pause between two reports of the same crash, or of answers to the same
  //! block: a leader that cannot acknowledge them gets them from all hosts.
  std::chrono::milliseconds repeat_interval{1'000};
};

//! What one host sees of crashes of backend servers: which of its requests
//! each crash interrupted, and which blocks are sound because a request with
//! them was answered. Not thread-safe.
class CrashObserver {
 public:
  explicit CrashObserver(CrashObserverOptions options);
  ~CrashObserver();

  //! Records that the connection of a request broke before the answer was
  //! complete. `request` is its whole content, `blocks` are its shared blocks.
  //! Returns whether this is the first broken connection of a possible crash.
  bool NoteBroken(const BackendServerName& server,
                  BlockDigest request,
                  const std::vector<BlockDigest>& blocks,
                  TimePoint now);
  //! Records that bytes were received from a server.
  void NoteAlive(const BackendServerName& server, TimePoint now);
  //! Records a complete answer, or one that went on long after its beginning,
  //! to a request that holds `contents`.
  void NoteAnswered(const std::vector<BlockDigest>& contents, TimePoint now);
  //! Sets the blocks whose answers are reported.
  void Watch(const std::vector<BlockDigest>& blocks);
  //! Adds confirmed crashes that are not acknowledged, and the last answers to
  //! requests with watched blocks: recent ones repeatedly, older ones once.
  //! None is added again within `repeat_interval`.
  //! Returns the crashes that this report contains for the first time.
  std::vector<ServerCrash> AddTo(CrashReport& report, TimePoint now);
  //! Ends the repetition of the crashes that report `number` contained. All
  //! reports of a crash say the same of it.
  void Acknowledge(std::uint64_t number);
  //! Drops the crashes that no report has contained yet: they had another
  //! cause.
  void DropUnreported();
  //! Reports all recent crashes again: a new leader does not know them.
  void ReportAgain();
  //! Returns the number of blocks whose last answer is remembered.
  std::size_t RememberedAnswers() const { return this->answered.size(); }

 private:
  struct Crash {
    TimePoint at;
    BackendServerName server;
    std::vector<CrashSuspect> suspects;
    std::vector<BlockDigest> requests;
    //! Whether any report has contained it.
    bool is_reported = false;
    //! Numbers of the last reports to this leader that contained it.
    std::deque<std::uint64_t> reports;
    //! When a report last contained it.
    TimePoint reported_at;
    bool acknowledged = false;
  };

  //! Moves crashes from `open` to `confirmed` or drops them.
  void Confirm(TimePoint now);
  //! Drops an acknowledged crash if there are too many. Returns whether there
  //! is room for another.
  bool MakeRoom();
  bool IsTrusted(BlockDigest block, TimePoint at) const;

  CrashObserverOptions options;
  //! Possible crashes, in order of time.
  std::vector<Crash> open;
  std::vector<Crash> confirmed;
  std::unordered_map<BlockDigest, TimePoint> answered;
  //! Watched blocks, and when an answer of each was last reported.
  std::map<BlockDigest, std::optional<TimePoint>> watched;
};

}  // namespace tamarackwing::policy
