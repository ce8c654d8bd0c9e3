#pragma once

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/control/peer_message.h"

namespace tamarackwing::hosts {

//! Interface: takes what other hosts send.
//! Thread safety: called from the network's thread.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual void HandleMessage(const HostName& from,
                             control::PeerMessage message) = 0;
};

}  // namespace tamarackwing::hosts
