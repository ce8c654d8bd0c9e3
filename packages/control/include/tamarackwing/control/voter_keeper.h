#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/control_options.h"
#include "tamarackwing/control/host_monitor.h"
#include "tamarackwing/control/membership_plan.h"
#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/state/control_state.h"

namespace tamarackwing::control {

//! Knows how long each voter has been silent, and decides which one is replaced
//! next. Leaders tell the other voters what they know, so that a voter's
//! silence goes on counting when another host becomes the leader.
//!
//! A host that joins while a voter is silent is taken for its successor and
//! replaces it after SuccessorWait. A host that stood by before replaces it
//! only after ControlOptions::voter_lost, since the voter may be back after a
//! short cut; but also after SuccessorWait if the voter has drained, or has not
//! been heard since the processes of the leaders started.
//!
//! A state machine without I/O. Not thread-safe.
class VoterKeeper {
 public:
  //! `now` is when this process started. Precondition: `options` outlives this
  //! object.
  VoterKeeper(const ControlOptions& options, TimePoint now);

  //! Records the hosts of the agreed state as of `now`.
  void NoteHosts(const std::map<HostName, state::HostRecord>& hosts,
                 TimePoint now);
  //! Records what a leader has told this host of the other voters.
  void NoteReport(const HostName& leader,
                  const std::vector<VoterSilence>& silences,
                  TimePoint now);
  //! Begins a term of this host as the leader.
  void StartTerm(TimePoint now);
  //! Records when each other voter last replied to this leader, or when this
  //! leader began to expect it. Precondition: a term has begun.
  void NoteReplies(const std::map<HostName, TimePoint>& replies, TimePoint now);
  //! Returns what this leader tells the other voters.
  std::vector<VoterSilence> Report(TimePoint now) const;

  //! Returns the voters that have been silent for SuccessorWait, the one silent
  //! for longest first; none until there was time to reply to this leader.
  std::vector<VoterSilence> LostVoters(TimePoint now) const;
  //! Returns how `voters` stand, of which `joining` is to become one; nullopt
  //! until they have had the time to reply to this leader.
  std::optional<VoterHealth> Health(const std::set<HostName>& voters,
                                    const HostName& joining,
                                    TimePoint now) const;
  //! Returns the next change of voters.
  VoterPlan NextChange(const std::set<HostName>& voters,
                       const state::ControlState& state,
                       const HostMonitor& monitor,
                       TimePoint now) const;
  //! Records that a host was given up before it became a voter. Others are
  //! preferred from then on.
  void NoteGivenUp(const HostName& host) { this->given_up.insert(host); }
  //! Returns how long a host that is to become a voter may not reply before it
  //! is given up.
  std::chrono::milliseconds JoinWait(const HostName& joining,
                                     const std::set<HostName>& voters,
                                     const state::ControlState& state,
                                     const HostMonitor& monitor,
                                     TimePoint now) const;
  //! Returns how long a voter is silent before a successor takes its place.
  std::chrono::milliseconds SuccessorWait() const;

 private:
  struct Contact {
    //! The last reply, or when a reply was first expected; later by the time in
    //! which no leader listened.
    TimePoint silent_since;
    //! See VoterSilence::reply_age.
    std::optional<TimePoint> last_reply;
  };

  std::chrono::milliseconds ElectionTime() const;
  VoterPlanInput MakeInput(const std::set<HostName>& voters,
                           const state::ControlState& state,
                           TimePoint now) const;
  bool HasListened(TimePoint now) const;
  std::set<HostName> JoinedBefore(TimePoint time) const;

  const ControlOptions* options;
  TimePoint started;
  std::map<HostName, Contact> contacts;
  //! The leader that made the last report; empty if that is this host.
  HostName reporter;
  TimePoint reported_at;
  TimePoint term_start;
  //! When this process first saw each host with a disk in the agreed state.
  std::map<HostName, TimePoint> joined;
  std::set<HostName> given_up;
};

}  // namespace tamarackwing::control
