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

}  // namespace

FeedSource::FeedSource() : buffer(kBufferedEntries, kBufferedBytes) {}

FeedReply FeedSource::HandleRequest(const HostName& from,
                                    const FeedRequest& request,
                                    const FeedKnowledge& knowledge) {
  FeedReply reply = this->MakeReply(request.next, knowledge);
  reply.number = request.number;
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
}

FeedReply FeedSource::MakeReply(LogIndex next,
                                const FeedKnowledge& knowledge) const {
  const LogIndex applied = knowledge.state.Applied();
  FeedReply reply;
  reply.commit = applied;
  reply.leader = knowledge.leader;
  if (knowledge.leader_contact) {
    reply.leader_contact_age = std::chrono::ceil<std::chrono::milliseconds>(
        knowledge.now - *knowledge.leader_contact);
  }
  auto entries = this->buffer.From(next, applied, kMaxEntriesPerReply);
  std::size_t bytes = 0;
  for (const state::LogEntry& entry :
       entries.value_or(std::vector<state::LogEntry>())) {
    bytes += entry.payload.size();
  }
  const bool is_single = entries && entries->size() == 1;
  if (entries && (bytes <= kMaxReplyBytes || is_single)) {
    reply.entries = std::move(*entries);
    return reply;
  }
  state::LogSnapshot snapshot;
  snapshot.index = applied;
  snapshot.state = knowledge.state.Encode();
  reply.snapshot = std::move(snapshot);
  return reply;
}

}  // namespace tamarackwing::control
