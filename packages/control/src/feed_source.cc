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

std::size_t PayloadBytes(const std::vector<state::LogEntry>& entries) {
  std::size_t bytes = 0;
  for (const state::LogEntry& entry : entries) {
    bytes += entry.payload.size();
  }
  return bytes;
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
    return reply;
  }
  Follower& follower = this->followers[from];
  follower.last_request = knowledge.now;
  follower.next = std::max(request.next, knowledge.state.Applied() + 1);
  if (!reply.entries.empty()) {
    follower.next = reply.entries.back().index + 1;
  }
  return reply;
}

std::vector<FeedUpdate> FeedSource::PendingUpdates(
    const FeedKnowledge& knowledge) {
  std::vector<FeedUpdate> updates;
  for (auto& [host, follower] : this->followers) {
    if (follower.next > knowledge.state.Applied()) {
      continue;
    }
    FeedReply reply = this->MakeReply(follower.next, knowledge);
    if (reply.snapshot) {
      // A snapshot is sent only in reply to a request.
      continue;
    }
    follower.next = reply.entries.back().index + 1;
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
