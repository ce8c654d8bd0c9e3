#pragma once

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/control/peer_message.h"

namespace tamarackwing::hosts {

//! Interface: handles messages from other hosts.
//! Thread safety: called on the thread of PeerNetwork::Run.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual void HandleMessage(const HostName& from,
                             control::PeerMessage message) = 0;
};

}  // namespace tamarackwing::hosts
