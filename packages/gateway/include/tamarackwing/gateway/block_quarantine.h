#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/crash_messages.h"
#include "tamarackwing/policy/crash_observer.h"

namespace tamarackwing {
class Metrics;
}

namespace tamarackwing::gateway {

//! How a request may be sent.
enum class SendPermission {
  kFree,
  //! As the trial of a quarantined block: once, by this host.
  kTrial,
};

//! Why a request that is quarantined, or holds a quarantined block, is refused.
struct QuarantineRefusal {
  //! The block, or the request's content.
  policy::BlockDigest block = 0;
  //! Time until a trial may release it.
  std::chrono::milliseconds retry_after{0};
  //! Time since the leader last confirmed the quarantine.
  std::chrono::milliseconds age{0};
};

//! One host's part in keeping requests, and blocks of prompts, that crash
//! servers away from them: it collects what the host's requests show, and
//! applies the leader's decisions.
//! Thread safety: callable from any thread.
class BlockQuarantine {
 public:
  //! Precondition: the arguments outlive the object.
  BlockQuarantine(const Clock& clock, Metrics& metrics);
  ~BlockQuarantine();

  //! Decides whether a request that holds this, its whole content included, may
  //! be sent to a server of this region; uses up a granted trial. To be called
  //! before each send.
  Expected<SendPermission, QuarantineRefusal> Check(
      const std::vector<policy::BlockDigest>& held);
  //! As for the methods of policy::CrashObserver.
  void NoteBroken(const BackendServerName& server,
                  const std::string& request_id,
                  policy::BlockDigest request,
                  const std::vector<policy::BlockDigest>& blocks);
  void NoteAlive(const BackendServerName& server);
  void NoteAnswered(const std::vector<policy::BlockDigest>& held);
  void DropUnreported();

  //! Returns a report for the leader, or nullopt if there is nothing to
  //! report. `is_new_leader`: the leader may not know this host's quarantine.
  std::optional<policy::CrashReport> MakeReport(bool is_new_leader);
  //! Applies a notice of the leader.
  void Accept(const policy::QuarantineNotice& notice);
  //! Returns the number of quarantined blocks and requests.
  std::size_t Size() const;

 private:
  struct Entry {
    TimePoint next_trial;
    std::uint32_t failed_trials = 0;
    TimePoint confirmed;
    //! Until when one request may be sent as a trial.
    TimePoint trial_until;
    //! When the last request was refused.
    std::optional<TimePoint> refused;
    //! When the leader was last told of the refusal, and of the entry.
    TimePoint refused_reported;
    TimePoint held_reported;
  };

  const Clock& clock;
  Metrics& metrics;
  mutable std::mutex mutex;
  policy::CrashObserver observer;
  std::map<policy::BlockDigest, Entry> entries;
  std::uint64_t number = 0;
  //! Term of the leader that the last notice came from.
  std::uint64_t term = 0;
  //! Whether that leader awaits the hosts' quarantines.
  bool is_awaited = false;
};

}  // namespace tamarackwing::gateway
