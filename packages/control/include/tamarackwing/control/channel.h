#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "tamarackwing/control/peer_message.h"

namespace tamarackwing::control {

//! The connections that a host opens to another one, by what they carry.
//! Messages of one channel arrive in the order in which they are sent. The
//! values are part of the protocol between hosts.
enum class Channel : std::uint8_t {
  kMain = 0,
  //! The agreed log's messages, on which the leader's lease rests, so that they
  //! do not wait behind large messages of other kinds.
  kLog = 1,
};

inline constexpr std::size_t kChannels = 2;
inline constexpr std::array<Channel, kChannels> kAllChannels{Channel::kMain,
                                                             Channel::kLog};

//! Returns the channel that carries a message. Thread safety: reentrant.
Channel ChannelOf(const PeerMessage& message);

//! Returns the channel's name, for logs. Thread safety: reentrant.
std::string_view ChannelName(Channel channel);

}  // namespace tamarackwing::control
