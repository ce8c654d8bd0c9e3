#pragma once

#include "tamarackwing/base/clock.h"

namespace tamarackwing::policy {

//! Decides which share of a target's servers gets the long prompts. An engine
//! prefills a prompt in chunks, one with each decode step, so that a long
//! prompt makes all streams of its server pause at each step. Handles long
//! prompts beside many long streams: spread over all servers, they make nearly
//! every stream pause for longer than its callers allow; on servers of their
//! own they delay only each other. The share follows the server time that both
//! kinds of requests need. Not thread-safe.
class PrefillPool {
 public:
  //! Records a request that was sent to a server, with the server time that it
  //! is expected to need.
  void NoteWork(bool is_long, Duration server_time, TimePoint now);
  //! Returns the share of the servers for long prompts, in steps of kStep; zero
  //! if there is too little of one kind to keep servers apart for it.
  double Share() const;

  //! Servers move between the kinds, and lose their use of cached prefixes,
  //! only when the share changes by this much.
  static constexpr double kStep = 1.0 / 16;

 private:
  //! Decayed sums of seconds, at `at`.
  double long_work = 0;
  double short_work = 0;
  TimePoint at;
};

}  // namespace tamarackwing::policy
