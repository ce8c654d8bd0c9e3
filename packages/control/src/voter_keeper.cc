#include "tamarackwing/control/voter_keeper.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::control {

using std::chrono::milliseconds;

namespace {

//! Election timeouts within which a leader is usually followed by the next.
constexpr int kElectionTimeouts = 4;
//! Heartbeats of a new leader within which a voter that is up replies to one.
constexpr int kHeartbeats = 3;

}  // namespace

VoterKeeper::VoterKeeper(const ControlOptions& options, TimePoint now)
    : options(&options), started(now) {}

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
  // that made it has been silent to this host itself, unless others led since.
  const Duration gap = now - this->reported_at;
  const bool is_last_leader = gap <= this->ElectionTime();
  for (auto& [host, contact] : this->contacts) {
    if (!is_last_leader && contact.last_reply) {
      *contact.last_reply += gap;
    }
    if (!is_last_leader || host != this->reporter) {
      contact.silent_since += gap;
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
  const TimePoint unheard_since =
      std::max(this->started, this->term_start - this->ElectionTime());
  for (const auto& [host, at] : replies) {
    Contact& contact =
        this->contacts.try_emplace(host, Contact{unheard_since, {}})
            .first->second;
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

milliseconds VoterKeeper::ElectionTime() const {
  return kElectionTimeouts * this->options->log.election_timeout;
}

milliseconds VoterKeeper::SuccessorWait() const {
  // The other half is for the change itself.
  const milliseconds wait = this->options->catch_up / 2;
  return std::max(this->options->log.election_timeout,
                  std::min(wait, this->options->voter_lost));
}

std::vector<VoterSilence> VoterKeeper::LostVoters(TimePoint now) const {
  std::vector<VoterSilence> lost;
  if (!this->HasListened(now)) {
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

std::optional<VoterHealth> VoterKeeper::Health(const std::set<HostName>& voters,
                                               const HostName& joining,
                                               TimePoint now) const {
  if (!this->HasListened(now)) {
    return std::nullopt;
  }
  VoterHealth health;
  health.lost = this->LostVoters(now);
  std::erase_if(health.lost, [&](const VoterSilence& voter) {
    return !voters.contains(voter.host);
  });
  health.joining = joining;
  health.losses_left =
      static_cast<std::uint32_t>(LossesLeft(voters.size(), health.lost.size()));
  return health;
}

VoterPlan VoterKeeper::NextChange(const std::set<HostName>& voters,
                                  const state::ControlState& state,
                                  const HostMonitor& monitor,
                                  TimePoint now) const {
  return PlanVoters(this->MakeInput(voters, state, now), state, monitor, now);
}

milliseconds VoterKeeper::JoinWait(const HostName& joining,
                                   const std::set<HostName>& voters,
                                   const state::ControlState& state,
                                   const HostMonitor& monitor,
                                   TimePoint now) const {
  VoterPlanInput input = this->MakeInput(voters, state, now);
  input.avoided.insert(joining);
  const HostName other = PlanVoters(input, state, monitor, now).add;
  const bool has_other = !other.IsEmpty() && !input.avoided.contains(other);
  // Replies also wait while a large state is on its way to a live host.
  return has_other || !monitor.IsLive(joining, now) ? this->SuccessorWait()
                                                    : this->options->voter_lost;
}

VoterPlanInput VoterKeeper::MakeInput(const std::set<HostName>& voters,
                                      const state::ControlState& state,
                                      TimePoint now) const {
  VoterPlanInput input;
  input.voters = voters;
  input.target = this->options->voters != 0
                     ? this->options->voters
                     : this->options->initial_voters.size();
  input.avoided = this->given_up;
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
  return input;
}

bool VoterKeeper::HasListened(TimePoint now) const {
  return now - this->term_start >= kHeartbeats * this->options->log.heartbeat;
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
