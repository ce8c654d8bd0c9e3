#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/peer_message.h"

namespace tamarackwing::control {

//! What a host asks of the hosts that it follows, which of them it asks, and
//! what their answers prove. Not thread-safe.
class FeedFollower {
 public:
  //! Asks once in each `report`.
  FeedFollower(std::chrono::milliseconds report, TimePoint now);

  //! Whom of `sources` to ask, given the leader that is known; turns to another
  //! one where the last is silent, or has no word itself.
  //! Precondition: `sources` is not empty.
  const HostName& Choose(const std::vector<HostName>& sources,
                         const HostName& known_leader,
                         TimePoint now);
  //! The next question, without statuses.
  FeedRequest MakeRequest(LogIndex next, TimePoint now);
  //! Takes an answer once its entries have been applied up to `applied`; false
  //! where it answers no question of this host.
  bool Take(const FeedReply& reply, LogIndex applied, TimePoint now);

  //! When this host had word by its own questions; nothing where never.
  std::optional<TimePoint> LeaderContact() const;
  //! The leader that the last answer named.
  const HostName& Leader() const { return this->leader; }
  //! The most that is known to be committed.
  LogIndex Commit() const { return this->commit; }

 private:
  std::chrono::milliseconds report;
  std::size_t source = 0;
  TimePoint source_since;
  HostName source_leader;
  std::uint64_t number = 0;
  std::map<std::uint64_t, TimePoint> sent;
  TimePoint answered;
  TimePoint leader_contact;
  LogIndex commit = 0;
  HostName leader;
};

}  // namespace tamarackwing::control
