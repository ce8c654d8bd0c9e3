#pragma once

#include <cstddef>
#include <optional>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::policy {

//! One host's part in sparing a server that rejects requests. After a pause the
//! host sends it one request at a time until one is accepted. The pause is what
//! the server asks for, or, if the server falls over when it has to reject too
//! many, one that grows with the number of hosts. Not thread-safe.
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
  //! Records that the server accepted a request. Returns whether that ends a
  //! pause.
  bool NoteAccepted();
  //! Records that a server whose tolerance is set rejected a request.
  void NoteRejected(TimePoint now);
  //! Sends nothing before `until`; does not shorten a longer pause.
  void PauseUntil(TimePoint until);

 private:
  Duration pause{};
  //! Set from a pause's start until a request is accepted: until when nothing
  //! is sent.
  std::optional<TimePoint> paused_until;
  //! Whether the request that decides is in flight.
  bool is_probing = false;
};

}  // namespace tamarackwing::policy
