#pragma once

#include "peer.capnp.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/control/peer_message.h"

namespace tamarackwing::hosts {

//! The reason why a message of a peer could not be read.
enum class WireError { kUnknownMessage, kOutOfRange };

//! Encodes a message. Thread safety: reentrant.
void WriteMessage(const control::PeerMessage& message,
                  wire::PeerMessage::Builder out);

//! Decodes a message. Fails with kOutOfRange if the message's kind or one of
//! its enumerators is unknown. Thread safety: reentrant.
Expected<control::PeerMessage, WireError> ReadMessage(
    wire::PeerMessage::Reader in);

}  // namespace tamarackwing::hosts
