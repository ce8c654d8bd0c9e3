#include "tamarackwing/control/feed_follower.h"

#include <algorithm>
#include <iterator>

namespace tamarackwing::control {
namespace {

//! Questions without an answer after which another source is tried.
constexpr int kSilentReports = 4;
//! Questions whose answers may still come.
constexpr std::size_t kQuestionsKept = 32;

}  // namespace

FeedFollower::FeedFollower(std::chrono::milliseconds report, TimePoint now)
    : report(report), source_since(now), answered(now) {}

const HostName& FeedFollower::Choose(const std::vector<HostName>& sources,
                                     const HostName& known_leader,
                                     TimePoint now) {
  if (known_leader != this->source_leader) {
    // Whoever was tried while there was no leader says nothing of what is best
    // under a new one.
    this->source_leader = known_leader;
    this->source = 0;
    this->source_since = now;
    this->answered = now;
  }
  // A source that answers and has no word from a leader itself is no better
  // than one that is silent.
  const Duration silence = kSilentReports * this->report;
  const bool has_leader_contact = now - this->leader_contact <= 2 * silence;
  const bool is_answered = now - this->answered <= silence;
  if (!is_answered ||
      (!has_leader_contact && now - this->source_since > 2 * silence)) {
    this->source += 1;
    this->source_since = now;
    this->answered = now;
  }
  return sources[this->source % sources.size()];
}

FeedRequest FeedFollower::MakeRequest(LogIndex next, TimePoint now) {
  FeedRequest request;
  request.number = ++this->number;
  request.next = next;
  this->sent[request.number] = now;
  if (this->sent.size() > kQuestionsKept) {
    this->sent.erase(this->sent.begin());
  }
  return request;
}

bool FeedFollower::Take(const FeedReply& reply,
                        LogIndex applied,
                        TimePoint now) {
  const auto question = this->sent.find(reply.number);
  if (question == this->sent.end()) {
    return false;
  }
  this->answered = now;
  this->leader = reply.leader;
  this->commit = std::max(this->commit, reply.commit);
  // The word counts only once all that it spoke of is in force.
  if (reply.leader_contact_age && applied >= reply.commit) {
    this->leader_contact = std::max(
        this->leader_contact, question->second - *reply.leader_contact_age);
  }
  this->sent.erase(this->sent.begin(), std::next(question));
  return true;
}

std::optional<TimePoint> FeedFollower::LeaderContact() const {
  if (this->leader_contact == TimePoint()) {
    return std::nullopt;
  }
  return this->leader_contact;
}

}  // namespace tamarackwing::control
