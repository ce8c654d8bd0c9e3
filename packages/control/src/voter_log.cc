#include "tamarackwing/control/voter_log.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "tamarackwing/base/event.h"

namespace tamarackwing::control {
namespace {

std::string ListOf(const std::set<HostName>& hosts) {
  std::string list;
  for (const HostName& host : hosts) {
    list += (list.empty() ? "" : " ") + host.Text();
  }
  return list;
}

//! Returns the hosts of `hosts` that are not in `others`.
std::set<HostName> Without(const std::set<HostName>& hosts,
                           const std::set<HostName>& others) {
  std::set<HostName> rest;
  std::set_difference(hosts.begin(), hosts.end(), others.begin(), others.end(),
                      std::inserter(rest, rest.end()));
  return rest;
}

}  // namespace

void VoterLog::NoteVoters(const std::set<HostName>& next,
                          const HostName& leader) {
  if (next == this->voters) {
    return;
  }
  LogEvent(Event::kVotersChanged, LogLevel::kInfo,
           {{"voters", ListOf(next)},
            {"added", ListOf(Without(next, this->voters))},
            {"removed", ListOf(Without(this->voters, next))},
            {"leader", leader.Text()}});
  this->voters = next;
}

void VoterLog::NoteLost(const std::vector<VoterSilence>& next) {
  std::set<HostName> hosts;
  for (const VoterSilence& voter : next) {
    hosts.insert(voter.host);
    if (!this->lost.contains(voter.host)) {
      LogEvent(Event::kVoterSilent, LogLevel::kWarning,
               {{"voter", voter.host.Text()},
                {"silent_ms", std::to_string(voter.silence.count())},
                {"lost", std::to_string(next.size())},
                {"voters", std::to_string(this->voters.size())}});
    }
  }
  this->lost = std::move(hosts);
}

void VoterLog::NoteJoining(const HostName& next) {
  if (next != this->joining && !next.IsEmpty()) {
    LogEvent(Event::kVoterJoining, LogLevel::kInfo,
             {{"host", next.Text()}, {"lost", ListOf(this->lost)}});
  }
  this->joining = next;
}

void VoterLog::NoteFailedElection(const state::FailedElection& election,
                                  const std::set<HostName>& all_voters) {
  if (election.granted == this->granted && election.refused == this->refused) {
    return;
  }
  this->granted = election.granted;
  this->refused = election.refused;
  LogEvent(Event::kElectionFailed, LogLevel::kWarning,
           {{"term", std::to_string(election.term)},
            {"pre_vote", election.is_pre_vote ? "yes" : "no"},
            {"granted", ListOf(election.granted)},
            {"refused", ListOf(election.refused)},
            {"no_reply", ListOf(Without(Without(all_voters, election.granted),
                                        election.refused))}});
}

}  // namespace tamarackwing::control
