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

//! What a host that is followed knows at one moment.
struct FeedKnowledge {
  const state::ControlState& state;
  HostName leader;
  //! When it had word of all that was committed; nothing where never.
  std::optional<TimePoint> leader_contact;
  TimePoint now;
};

//! News for one follower.
struct FeedUpdate {
  HostName to;
  FeedReply reply;
};

//! Answers the hosts that follow this one, and tells them news at once.
//! Not thread-safe.
class FeedSource {
 public:
  FeedSource();

  //! Keeps an entry that has been applied. Precondition: entries come in order.
  void Keep(const state::LogEntry& entry) { this->buffer.Add(entry); }
  //! Starts again after a snapshot.
  void Clear() { this->buffer.Clear(); }
  //! Answers a question; the follower is told news from now on.
  FeedReply Answer(const HostName& from,
                   const FeedRequest& request,
                   const FeedKnowledge& knowledge);
  //! What the followers have not been told yet.
  std::vector<FeedUpdate> PendingUpdates(const FeedKnowledge& knowledge);
  //! Tells no more to who has not asked since then.
  void DropSilent(TimePoint since);

 private:
  struct Follower {
    LogIndex next = 1;
    TimePoint heard;
  };
  FeedReply Make(LogIndex next, const FeedKnowledge& knowledge) const;

  FeedBuffer buffer;
  std::map<HostName, Follower> followers;
};

}  // namespace tamarackwing::control
