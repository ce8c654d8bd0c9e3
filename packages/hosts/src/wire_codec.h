#pragma once

#include "peer.capnp.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/control/peer_message.h"

namespace tamarackwing::hosts {

//! Why bytes of a peer are no message.
enum class WireError { kUnknownMessage, kOutOfRange };

//! Writes a message. Thread safety: reentrant.
void WriteMessage(const control::PeerMessage& message,
                  wire::PeerMessage::Builder out);

//! Reads a message. Thread safety: reentrant.
Expected<control::PeerMessage, WireError> ReadMessage(
    wire::PeerMessage::Reader in);

}  // namespace tamarackwing::hosts
