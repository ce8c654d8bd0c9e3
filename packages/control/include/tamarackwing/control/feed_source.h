#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/feed_buffer.h"
#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/state/control_state.h"

namespace tamarackwing::control {

//! What the source host knows at one point in time.
struct FeedKnowledge {
  const state::ControlState& state;
  HostName leader;
  //! Last leader contact, up to which everything committed is known; nullopt if
  //! there was none.
  std::optional<TimePoint> leader_contact;
  TimePoint now;
};

//! An update for one follower, sent without a request.
struct FeedUpdate {
  HostName to;
  FeedReply reply;
};

//! The source's side of the feed: replies to followers, and sends them new
//! entries at once without a request. Not thread-safe.
class FeedSource {
 public:
  FeedSource();

  //! Buffers an applied entry. Precondition: entries are added in log order.
  void Keep(const state::LogEntry& entry) { this->buffer.Add(entry); }
  //! Discards the buffered entries; to be called when a snapshot is installed.
  void Clear();
  //! Returns the reply to a request. The sender receives updates from now on if
  //! it asked for entries, and goes on to receive them otherwise.
  FeedReply HandleRequest(const HostName& from,
                          const FeedRequest& request,
                          const FeedKnowledge& knowledge);
  //! Returns updates with the entries that have not been sent to followers yet.
  //! A follower with much on its way to it gets none: it asks for what it lacks
  //! once that has arrived, and then gets nothing that was replaced meanwhile.
  std::vector<FeedUpdate> PendingUpdates(const FeedKnowledge& knowledge);
  //! Drops the followers whose last request arrived before `since`, and the
  //! encoded state if it was last sent before.
  void DropSilent(TimePoint since);

 private:
  struct Follower {
    LogIndex next = 1;
    TimePoint last_request;
    //! Payload sent since the follower last said that it had applied all.
    std::size_t bytes_on_way = 0;
  };
  //! Records what a reply or an update sends to a follower.
  static void NoteSent(const FeedReply& reply, Follower& follower);
  FeedReply MakeReply(LogIndex next, const FeedKnowledge& knowledge);
  //! Adds the state to a reply, as a snapshot and the entries applied since.
  void AddState(const FeedKnowledge& knowledge, FeedReply& reply);

  FeedBuffer buffer;
  std::map<HostName, Follower> followers;
  //! The state as it was last encoded. Hosts that start together need the same,
  //! and encoding it takes long.
  std::optional<state::LogSnapshot> encoded;
  TimePoint encoded_used;
};

}  // namespace tamarackwing::control
