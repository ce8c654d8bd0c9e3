#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/peer_message.h"

namespace tamarackwing::control {

//! The follower's side of the feed: makes requests, chooses the source to send
//! them to, and derives from the replies when this host last had leader
//! contact. Not thread-safe.
class FeedFollower {
 public:
  //! `request_interval` is the interval at which the caller makes requests.
  //! Requests are numbered from the one after `last_number` on.
  //! Precondition: no earlier process of this host has used a higher number.
  FeedFollower(std::chrono::milliseconds request_interval,
               TimePoint now,
               std::uint64_t last_number = 0);

  //! Returns the source to send the next request to. `sources` begins with the
  //! best. Moves on to another source if the current one does not reply, has no
  //! leader contact itself or sends no entries that were asked for, goes back
  //! to a better one that has replied to a MakeBetterProbe, and starts again
  //! with the first when the known leader changes. Precondition: `sources` is
  //! not empty.
  const HostName& Choose(const std::vector<HostName>& sources,
                         const HostName& known_leader,
                         TimePoint now);
  //! Returns the next request to a source, without statuses.
  FeedRequest MakeRequest(const HostName& to, LogIndex next, TimePoint now);
  //! Returns a request, without statuses, that asks only how far a source is.
  FeedRequest MakeProbe(const HostName& to, TimePoint now);
  //! Returns whether the current source still has to be asked for entries, so
  //! that it sends new ones by itself.
  bool IsNewSource() const { return this->source != this->entries_source; }
  //! Records that bytes of a host were arriving at `at`, also of a message that
  //! is not complete.
  void NoteBytes(const HostName& from, TimePoint at);
  //! Returns the source that Choose returned last; an empty name before.
  const HostName& Source() const { return this->source; }
  //! Returns the source that was last asked for entries.
  const HostName& EntriesSource() const { return this->entries_source; }
  //! Returns which better source than the current one to ask, from time to
  //! time, how far it is; nullopt if it is not time or there is none.
  std::optional<HostName> ProbeBetter(const std::vector<HostName>& sources,
                                      TimePoint now);
  //! As MakeProbe, for a source that ProbeBetter returned.
  FeedRequest MakeBetterProbe(const HostName& to, TimePoint now);
  //! Returns whether a request for entries waits for its reply, and its source
  //! has neither replied to a later request nor been silent for long since.
  bool AwaitsEntries(TimePoint now) const;
  //! Handles a reply after its entries have been applied; `applied` is the
  //! index of the last applied entry. Returns false if the reply matches no
  //! pending request of this host to that source.
  bool HandleReply(const HostName& from,
                   const FeedReply& reply,
                   LogIndex applied,
                   TimePoint now);

  //! Records who leads, as a host said that had not been asked. Precondition:
  //! this host has no leader contact.
  void NoteLeader(const HostName& announced) { this->leader = announced; }

  //! Returns the last leader contact as proven by replies to this host's own
  //! requests; nullopt if there was none.
  std::optional<TimePoint> LeaderContact() const;
  //! Returns the leader named in the last reply or announcement.
  const HostName& Leader() const { return this->leader; }
  //! Returns the highest index known to be committed.
  LogIndex Commit() const { return this->commit; }

 private:
  void StartWith(const HostName& host, TimePoint now);

  std::chrono::milliseconds request_interval;
  HostName source;
  //! The last request to a better source, and when it was made.
  std::uint64_t better_request = 0;
  TimePoint better_since;
  std::size_t better_probes = 0;
  //! A better source with leader contact.
  HostName better;
  HostName source_leader;
  std::uint64_t number = 0;
  //! A request without a reply.
  struct Pending {
    HostName to;
    TimePoint at;
  };
  std::map<std::uint64_t, Pending> sent;
  //! The last request for entries, and the source that it was made to.
  std::uint64_t entries_request = 0;
  HostName entries_source;
  LogIndex entries_next = 0;
  //! Number of requests for entries in a row that brought this host no further.
  int vain_requests = 0;
  //! When bytes of that source last arrived.
  TimePoint entries_bytes;
  TimePoint last_reply;
  //! The last leader contact of the current source, whether or not this host
  //! has applied what was committed then, and when it was last heard to be
  //! newer than before.
  TimePoint source_contact;
  TimePoint contact_advanced;
  TimePoint leader_contact;
  LogIndex commit = 0;
  HostName leader;
  //! The leader contact of the source that named the leader.
  TimePoint leader_named;
};

}  // namespace tamarackwing::control
