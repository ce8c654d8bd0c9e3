#include "tamarackwing/control/channel.h"

#include <variant>

namespace tamarackwing::control {

Channel ChannelOf(const PeerMessage& message) {
  return std::holds_alternative<state::LogMessage>(message) ? Channel::kLog
                                                            : Channel::kMain;
}

std::string_view ChannelName(Channel channel) {
  return channel == Channel::kLog ? "log" : "main";
}

}  // namespace tamarackwing::control
