#include "tamarackwing/control/feed_source.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::control {
namespace {

constexpr std::size_t kBufferedEntries = 8'192;
constexpr std::size_t kBufferedBytes = 1024 * 1024;
//! Maximum payload, in bytes, of a reply with several entries. If the entries
//! are larger, the follower gets a snapshot instead: many configuration sets
//! that replaced each other take more bytes than the last of them.
constexpr std::size_t kMaxReplyBytes = 128 * 1024;
constexpr std::size_t kMaxEntriesPerReply = 512;
//! Payload, in bytes, that may be on its way to a follower when it gets another
//! update.
constexpr std::size_t kMaxBytesOnWay = 64 * 1024;

std::size_t PayloadBytes(const std::vector<state::LogEntry>& entries) {
  std::size_t bytes = 0;
  for (const state::LogEntry& entry : entries) {
    bytes += entry.payload.size();
  }
  return bytes;
}

//! Returns the last entry that a request's sender says it has applied.
LogIndex AppliedBy(const HostName& sender, const FeedRequest& request) {
  for (const HostStatus& status : request.statuses) {
    if (status.record.name == sender) {
      return status.applied;
    }
  }
  return 0;
}

}  // namespace

FeedSource::FeedSource() : buffer(kBufferedEntries, kBufferedBytes) {}

void FeedSource::Clear() {
  this->buffer.Clear();
  this->encoded.reset();
}

FeedReply FeedSource::HandleRequest(const HostName& from,
                                    const FeedRequest& request,
                                    const FeedKnowledge& knowledge) {
  FeedReply reply = this->MakeReply(request.next, knowledge);
  reply.number = request.number;
  if (request.next == FeedRequest::kNoEntries) {
    const auto known = this->followers.find(from);
    if (known != this->followers.end()) {
      known->second.last_request = knowledge.now;
      if (AppliedBy(from, request) + 1 >= known->second.next) {
        known->second.bytes_on_way = 0;
      }
    }
    return reply;
  }
  Follower& follower = this->followers[from];
  follower.last_request = knowledge.now;
  follower.next = std::max(request.next, knowledge.state.Applied() + 1);
  follower.bytes_on_way = 0;
  NoteSent(reply, follower);
  return reply;
}

void FeedSource::NoteSent(const FeedReply& reply, Follower& follower) {
  follower.bytes_on_way += PayloadBytes(reply.entries);
  if (reply.snapshot) {
    follower.bytes_on_way += reply.snapshot->state.size();
  }
  if (!reply.entries.empty()) {
    follower.next = reply.entries.back().index + 1;
  }
}

std::vector<FeedUpdate> FeedSource::PendingUpdates(
    const FeedKnowledge& knowledge) {
  std::vector<FeedUpdate> updates;
  for (auto& [host, follower] : this->followers) {
    if (follower.next > knowledge.state.Applied() ||
        follower.bytes_on_way > kMaxBytesOnWay) {
      continue;
    }
    FeedReply reply = this->MakeReply(follower.next, knowledge);
    if (reply.snapshot) {
      // A snapshot is sent only in reply to a request.
      continue;
    }
    NoteSent(reply, follower);
    updates.push_back({host, std::move(reply)});
  }
  return updates;
}

void FeedSource::DropSilent(TimePoint since) {
  std::erase_if(this->followers, [&](const auto& entry) {
    return entry.second.last_request < since;
  });
  if (this->encoded_used < since) {
    this->encoded.reset();
  }
}

FeedReply FeedSource::MakeReply(LogIndex next, const FeedKnowledge& knowledge) {
  const LogIndex applied = knowledge.state.Applied();
  FeedReply reply;
  reply.commit = applied;
  reply.leader = knowledge.leader;
  if (knowledge.leader_contact) {
    reply.leader_contact_age = std::chrono::ceil<std::chrono::milliseconds>(
        knowledge.now - *knowledge.leader_contact);
  }
  auto entries = this->buffer.From(next, applied, kMaxEntriesPerReply);
  if (entries &&
      (entries->size() == 1 || PayloadBytes(*entries) <= kMaxReplyBytes)) {
    reply.entries = std::move(*entries);
    return reply;
  }
  this->AddState(knowledge, reply);
  return reply;
}

void FeedSource::AddState(const FeedKnowledge& knowledge, FeedReply& reply) {
  const LogIndex applied = knowledge.state.Applied();
  this->encoded_used = knowledge.now;
  if (this->encoded) {
    auto entries = this->buffer.From(this->encoded->index + 1, applied,
                                     kMaxEntriesPerReply);
    const bool is_complete =
        entries && this->encoded->index + entries->size() == applied &&
        PayloadBytes(*entries) <= kMaxReplyBytes;
    if (is_complete) {
      reply.snapshot = this->encoded;
      reply.entries = std::move(*entries);
      return;
    }
  }
  this->encoded.emplace();
  this->encoded->index = applied;
  this->encoded->state = knowledge.state.Encode();
  reply.snapshot = this->encoded;
}

}  // namespace tamarackwing::control
