#pragma once

#include <string_view>

#include "tamarackwing/control/peer_message.h"

namespace tamarackwing::control {

//! Returns the name of the message's type, for logs and metrics. Thread safety:
//! reentrant.
std::string_view MessageKind(const PeerMessage& message);

}  // namespace tamarackwing::control
