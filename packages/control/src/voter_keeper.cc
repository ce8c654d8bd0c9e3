#include "tamarackwing/control/voter_keeper.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::control {

using std::chrono::milliseconds;

VoterKeeper::VoterKeeper(const ControlOptions& options) : options(&options) {}

void VoterKeeper::NoteHosts(const std::map<HostName, state::HostRecord>& hosts,
                            TimePoint now) {
  for (const auto& [name, host] : hosts) {
    if (host.has_disk) {
      this->joined.try_emplace(name, now);
    }
  }
  std::erase_if(this->joined, [&](const auto& entry) {
    return !hosts.contains(entry.first);
  });
}

void VoterKeeper::NoteReport(const HostName& leader,
                             const std::vector<VoterSilence>& silences,
                             TimePoint now) {
  this->contacts.clear();
  for (const VoterSilence& voter : silences) {
    Contact& contact = this->contacts[voter.host];
    contact.silent_since = now - voter.silence;
    if (voter.reply_age) {
      contact.last_reply = now - *voter.reply_age;
    }
  }
  this->contacts[leader] = {now, now};
  this->reporter = leader;
  this->reported_at = now;
}

void VoterKeeper::StartTerm(TimePoint now) {
  // Nobody has listened to the other voters since the last report. The leader
  // that made it has been silent to this host itself.
  for (auto& [host, contact] : this->contacts) {
    if (host != this->reporter) {
      contact.silent_since += now - this->reported_at;
    }
  }
  this->reporter = HostName();
  this->reported_at = now;
  this->term_start = now;
}

void VoterKeeper::NoteReplies(const std::map<HostName, TimePoint>& replies,
                              TimePoint now) {
  std::erase_if(this->contacts, [&](const auto& entry) {
    return !replies.contains(entry.first);
  });
  for (const auto& [host, at] : replies) {
    Contact& contact =
        this->contacts.try_emplace(host, Contact{at, {}}).first->second;
    if (at > this->term_start) {
      contact = {at, at};
    }
  }
  this->reported_at = now;
}

std::vector<VoterSilence> VoterKeeper::Report(TimePoint now) const {
  const auto age = [now](TimePoint since) {
    return std::chrono::duration_cast<milliseconds>(now - since);
  };
  std::vector<VoterSilence> silences;
  for (const auto& [host, contact] : this->contacts) {
    VoterSilence voter{host, age(contact.silent_since), {}};
    if (contact.last_reply) {
      voter.reply_age = age(*contact.last_reply);
    }
    silences.push_back(std::move(voter));
  }
  return silences;
}

milliseconds VoterKeeper::SuccessorWait() const {
  // The other half is for the change itself.
  const milliseconds wait = this->options->catch_up / 2;
  return std::max(this->options->log.election_timeout,
                  std::min(wait, this->options->voter_lost));
}

std::vector<VoterSilence> VoterKeeper::LostVoters(TimePoint now) const {
  std::vector<VoterSilence> lost;
  if (now - this->term_start < this->options->log.election_timeout) {
    return lost;
  }
  for (const VoterSilence& voter : this->Report(now)) {
    if (voter.silence >= this->SuccessorWait()) {
      lost.push_back(voter);
    }
  }
  std::stable_sort(lost.begin(), lost.end(),
                   [](const VoterSilence& left, const VoterSilence& right) {
                     return left.silence > right.silence;
                   });
  return lost;
}

VoterPlan VoterKeeper::NextChange(const std::set<HostName>& voters,
                                  const state::ControlState& state,
                                  const HostMonitor& monitor,
                                  TimePoint now) const {
  VoterPlanInput input;
  input.voters = voters;
  input.target = this->options->voters != 0
                     ? this->options->voters
                     : this->options->initial_voters.size();
  for (const VoterSilence& voter : this->LostVoters(now)) {
    const auto host = state.Hosts().find(voter.host);
    const bool has_drained =
        host != state.Hosts().end() && host->second.draining;
    LostVoter lost;
    lost.host = voter.host;
    if (voter.silence < this->options->voter_lost && voter.reply_age &&
        !has_drained) {
      lost.not_by = this->JoinedBefore(now - *voter.reply_age);
    }
    input.lost.push_back(std::move(lost));
  }
  return PlanVoters(input, state, monitor, now);
}

std::set<HostName> VoterKeeper::JoinedBefore(TimePoint time) const {
  std::set<HostName> hosts;
  for (const auto& [host, at] : this->joined) {
    if (at < time) {
      hosts.insert(host);
    }
  }
  return hosts;
}

}  // namespace tamarackwing::control
