#include "tamarackwing/control/feed_follower.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::control {
namespace {

//! Number of request intervals without a reply after which another source is
//! tried.
constexpr int kMaxSilentIntervals = 4;
//! Number of request intervals between two questions to better sources.
constexpr int kBetterProbeIntervals = 4;
//! Maximum number of requests that still wait for a reply.
constexpr std::size_t kMaxPendingRequests = 128;
//! Number of requests for entries in a row that may bring a host no further
//! before another source is tried.
constexpr int kMaxVainRequests = 3;

std::optional<std::size_t> PlaceOf(const HostName& host,
                                   const std::vector<HostName>& sources) {
  const auto found = std::find(sources.begin(), sources.end(), host);
  if (found == sources.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - sources.begin());
}

}  // namespace

FeedFollower::FeedFollower(std::chrono::milliseconds request_interval,
                           TimePoint now,
                           std::uint64_t last_number)
    : request_interval(request_interval),
      number(last_number),
      last_reply(now),
      contact_advanced(now) {}

const HostName& FeedFollower::Choose(const std::vector<HostName>& sources,
                                     const HostName& known_leader,
                                     TimePoint now) {
  if (known_leader != this->source_leader) {
    // A source that failed before the change of leader, without a reply or
    // without leader contact, may work now, so start again with the best one.
    this->source_leader = known_leader;
    this->StartWith(sources.front(), now);
  }
  auto place = PlaceOf(this->source, sources);
  const auto better_place =
      PlaceOf(std::exchange(this->better, HostName()), sources);
  if (!place || (better_place && *better_place < *place)) {
    place = better_place.value_or(0);
    this->StartWith(sources[*place], now);
  }
  // A source that replies but has no leader contact itself is no better than
  // one that does not reply.
  const Duration silence = kMaxSilentIntervals * this->request_interval;
  const bool has_leader_contact = now - this->contact_advanced <= 2 * silence;
  const bool has_recent_reply = now - this->last_reply <= silence;
  if (!has_recent_reply || !has_leader_contact ||
      this->vain_requests >= kMaxVainRequests) {
    place = (*place + 1) % sources.size();
    this->StartWith(sources[*place], now);
  }
  return sources[*place];
}

void FeedFollower::StartWith(const HostName& host, TimePoint now) {
  this->source = host;
  this->last_reply = now;
  this->source_contact = TimePoint();
  this->contact_advanced = now;
  this->vain_requests = 0;
}

std::optional<HostName> FeedFollower::ProbeBetter(
    const std::vector<HostName>& sources,
    TimePoint now) {
  const std::size_t place = PlaceOf(this->source, sources).value_or(0);
  if (place == 0 || now - this->better_since <
                        kBetterProbeIntervals * this->request_interval) {
    return std::nullopt;
  }
  this->better_since = now;
  return sources[this->better_probes++ % place];
}

FeedRequest FeedFollower::MakeBetterProbe(const HostName& to, TimePoint now) {
  FeedRequest request = this->MakeProbe(to, now);
  this->better_request = request.number;
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
    this->entries_next = next;
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
  if (from == this->source) {
    this->last_reply = now;
  } else if (has_contact && reply.number == this->better_request) {
    this->better = from;
  }
  this->commit = std::max(this->commit, reply.commit);
  if (reply.leader_contact_age) {
    const TimePoint contact = sent_at - *reply.leader_contact_age;
    if (from == this->source && contact > this->source_contact) {
      this->source_contact = contact;
      this->contact_advanced = now;
    }
    // A source without recent contact may name a former leader.
    if (!reply.leader.IsEmpty() && contact >= this->leader_named) {
      this->leader = reply.leader;
      this->leader_named = contact;
    }
  } else if (this->leader.IsEmpty()) {
    this->leader = reply.leader;
  }
  // The contact counts only if this host has applied everything that the source
  // reported as committed.
  if (reply.leader_contact_age && applied >= reply.commit) {
    this->leader_contact =
        std::max(this->leader_contact, sent_at - *reply.leader_contact_age);
  }
  const bool ends_entries_request = from == this->entries_source &&
                                    reply.number >= this->entries_request &&
                                    this->sent.contains(this->entries_request);
  if (ends_entries_request) {
    const bool is_vain = applied < this->entries_next && applied < reply.commit;
    this->vain_requests = is_vain ? this->vain_requests + 1 : 0;
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
