#pragma once

#include <cstddef>
#include <optional>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::policy {

//! One host's part in keeping the rejections of a server below the number per
//! second at which it falls over. After a rejection the host sends it nothing
//! for a pause that grows with the number of hosts, then one request at a time
//! until one is accepted. Not thread-safe.
class RejectionGate {
 public:
  //! Sets the rejections per 1000 seconds that the server bears, from `hosts`
  //! hosts together. Precondition: `hosts` is positive.
  void SetTolerance(std::uint64_t per_kilosecond, std::size_t hosts);
  //! Returns whether a request may be sent.
  bool MaySend(TimePoint now) const;
  //! Returns how long no request may be sent, or nullopt while one whose
  //! outcome decides is in flight.
  std::optional<Duration> Wait(TimePoint now) const;
  //! Records that a request is sent.
  void NoteSent();
  //! Records that a request ended. Precondition: it was sent.
  void NoteEnded();
  //! Records that the server accepted or rejected a request.
  void NoteAccepted();
  void NoteRejected(TimePoint now);

 private:
  Duration pause{};
  //! Set from a rejection until a request is accepted: until when nothing is
  //! sent.
  std::optional<TimePoint> paused_until;
  //! Whether the request that decides is in flight.
  bool is_probing = false;
};

}  // namespace tamarackwing::policy
