#include "tamarackwing/control/feed_follower.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::control {
namespace {

//! Number of request intervals without a reply after which another source is
//! tried.
constexpr int kMaxSilentIntervals = 4;
//! Number of request intervals between two questions to better sources.
constexpr int kLookIntervals = 4;
//! Maximum number of requests that still wait for a reply.
constexpr std::size_t kMaxPendingRequests = 128;

}  // namespace

FeedFollower::FeedFollower(std::chrono::milliseconds request_interval,
                           TimePoint now,
                           std::uint64_t last_number)
    : request_interval(request_interval),
      source_since(now),
      number(last_number),
      last_reply(now) {}

const HostName& FeedFollower::Choose(const std::vector<HostName>& sources,
                                     const HostName& known_leader,
                                     TimePoint now) {
  if (known_leader != this->source_leader) {
    // A source that failed before the change of leader, without a reply or
    // without leader contact, may work now, so start again with the best one.
    this->source_leader = known_leader;
    this->StartWith(sources.front(), now);
  }
  std::size_t place = this->PlaceOf(this->source, sources);
  const HostName returned = std::exchange(this->better, HostName());
  if (!returned.IsEmpty() && this->PlaceOf(returned, sources) < place) {
    this->StartWith(returned, now);
    place = this->PlaceOf(returned, sources);
  }
  // A source that replies but has no leader contact itself is no better than
  // one that does not reply.
  const Duration silence = kMaxSilentIntervals * this->request_interval;
  const bool has_leader_contact = now - this->source_contact <= 2 * silence;
  const bool has_recent_reply = now - this->last_reply <= silence;
  if (!has_recent_reply ||
      (!has_leader_contact && now - this->source_since > 2 * silence)) {
    place = (place + 1) % sources.size();
    this->StartWith(sources[place], now);
  }
  return sources[place];
}

std::size_t FeedFollower::PlaceOf(const HostName& host,
                                  const std::vector<HostName>& sources) const {
  const auto found = std::find(sources.begin(), sources.end(), host);
  return found == sources.end()
             ? 0
             : static_cast<std::size_t>(found - sources.begin());
}

void FeedFollower::StartWith(const HostName& host, TimePoint now) {
  this->source = host;
  this->source_since = now;
  this->last_reply = now;
}

std::optional<HostName> FeedFollower::Look(const std::vector<HostName>& sources,
                                           TimePoint now) {
  const std::size_t place = this->PlaceOf(this->source, sources);
  if (place == 0 ||
      now - this->look_since < kLookIntervals * this->request_interval) {
    return std::nullopt;
  }
  this->look_since = now;
  return sources[this->looks++ % place];
}

FeedRequest FeedFollower::MakeLook(const HostName& to, TimePoint now) {
  FeedRequest request = this->MakeProbe(to, now);
  this->look_request = request.number;
  return request;
}

FeedRequest FeedFollower::MakeRequest(const HostName& to,
                                      LogIndex next,
                                      TimePoint now) {
  FeedRequest request;
  request.number = ++this->number;
  request.next = next;
  this->sent[request.number] = {to, now};
  if (next != FeedRequest::kNoEntries) {
    this->entries_request = request.number;
    this->entries_source = to;
  }
  if (this->sent.size() > kMaxPendingRequests) {
    this->sent.erase(this->sent.begin());
  }
  return request;
}

FeedRequest FeedFollower::MakeProbe(const HostName& to, TimePoint now) {
  return this->MakeRequest(to, FeedRequest::kNoEntries, now);
}

void FeedFollower::NoteBytes(const HostName& from, TimePoint at) {
  if (from == this->source) {
    this->last_reply = std::max(this->last_reply, at);
  }
  if (from == this->entries_source) {
    this->entries_bytes = std::max(this->entries_bytes, at);
  }
}

bool FeedFollower::AwaitsEntries(TimePoint now) const {
  const auto request = this->sent.find(this->entries_request);
  return request != this->sent.end() &&
         now - std::max(request->second.at, this->entries_bytes) <=
             kMaxSilentIntervals * this->request_interval;
}

bool FeedFollower::HandleReply(const HostName& from,
                               const FeedReply& reply,
                               LogIndex applied,
                               TimePoint now) {
  const auto sent_request = this->sent.find(reply.number);
  if (sent_request == this->sent.end() || sent_request->second.to != from) {
    return false;
  }
  const TimePoint sent_at = sent_request->second.at;
  const bool has_contact =
      reply.leader_contact_age &&
      *reply.leader_contact_age <= kMaxSilentIntervals * this->request_interval;
  if (reply.number != this->look_request) {
    this->last_reply = now;
  } else if (has_contact) {
    this->better = from;
  }
  this->leader = reply.leader;
  this->commit = std::max(this->commit, reply.commit);
  if (from == this->source && reply.leader_contact_age) {
    this->source_contact =
        std::max(this->source_contact, sent_at - *reply.leader_contact_age);
  }
  // The contact counts only if this host has applied everything that the source
  // reported as committed.
  if (reply.leader_contact_age && applied >= reply.commit) {
    this->leader_contact =
        std::max(this->leader_contact, sent_at - *reply.leader_contact_age);
  }
  // A source replies in the order in which it was asked, so earlier requests to
  // it were lost, or their replies were.
  std::erase_if(this->sent, [&](const auto& entry) {
    return entry.first <= reply.number && entry.second.to == from;
  });
  return true;
}

std::optional<TimePoint> FeedFollower::LeaderContact() const {
  if (this->leader_contact == TimePoint()) {
    return std::nullopt;
  }
  return this->leader_contact;
}

}  // namespace tamarackwing::control
