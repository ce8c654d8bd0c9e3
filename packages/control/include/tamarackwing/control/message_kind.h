#pragma once

#include <string_view>

#include "tamarackwing/control/peer_message.h"

namespace tamarackwing::control {

//! Returns the name of the message's type, for logs and metrics. Thread safety:
//! reentrant.
std::string_view MessageKind(const PeerMessage& message);

//! Returns whether a message is one that its sender repeats at short intervals
//! in any case, so that it need not be sent while the recipient has not handled
//! the last one of its kind. Thread safety: reentrant.
bool IsRepeated(const PeerMessage& message);

}  // namespace tamarackwing::control
