#pragma once

#include <set>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/state/agreed_log.h"

namespace tamarackwing::control {

//! Logs changes of voters, the steps of their replacement, and elections that
//! fail, each once until it changes. Not thread-safe.
class VoterLog {
 public:
  //! Records the voters in this host's log.
  void NoteVoters(const std::set<HostName>& next, const HostName& leader);
  //! Records which voters this leader considers lost.
  void NoteLost(const std::vector<VoterSilence>& next);
  //! Records which host catches up before it becomes a voter; an empty name if
  //! none does.
  void NoteJoining(const HostName& next);
  void NoteFailedElection(const state::FailedElection& election,
                          const std::set<HostName>& all_voters);

 private:
  std::set<HostName> voters;
  std::set<HostName> lost;
  HostName joining;
  //! Of the last election that failed.
  std::set<HostName> granted;
  std::set<HostName> refused;
};

}  // namespace tamarackwing::control
