#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/state/host_record.h"

namespace tamarackwing::hosts {

class PeerHandler;

//! The options of a host's connections to its peers.
struct NetworkOptions {
  //! The name of this host.
  HostName self;
  //! The region of this host.
  RegionName region;
  //! The address and port to listen on.
  std::string address;
  std::uint16_t port = 0;
  //! Shared by all hosts of the cluster and known to nobody else.
  std::string secret;
  //! Timeout of connecting. A connection with calls that wait is closed if for
  //! this long none gets its reply, and no bytes of a large one are taken.
  std::chrono::milliseconds call_timeout{2'000};
  //! Minimum time between two attempts to connect to a peer.
  std::chrono::milliseconds reconnect_interval{200};
  //! Whether this host takes part in the agreed log. It then opens the log's
  //! connection to each other such host along with the main one.
  bool has_log = false;
  //! Maximum number of messages queued for a peer that is not connected, and of
  //! calls in flight to a connected peer. Further messages are dropped.
  std::size_t max_pending = 1'024;
};

//! What was sent of one kind of message.
struct SentTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

//! A kind of message (control::MessageKind), and whether its recipient is in
//! another region.
struct TrafficKind {
  std::string_view message;
  bool crosses_regions = false;

  friend auto operator<=>(const TrafficKind&, const TrafficKind&) = default;
};

//! The reason why the listener for peers could not be opened.
enum class NetworkError { kCannotListen };

//! Connections to the other hosts over Cap'n Proto RPC, and the event loop of
//! the control thread. Messages of the agreed log have connections of their
//! own; otherwise a host gets messages in the order in which they are sent.
//! Thread safety: must be created, used and destroyed on one thread, except
//! that Post, Stop and SentBytes are callable from any thread.
class PeerNetwork {
 public:
  //! Precondition: `handler` outlives the network.
  PeerNetwork(NetworkOptions options, PeerHandler& handler);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  //! Starts listening for connections of peers.
  Expected<void, NetworkError> Listen();
  //! Sets the addresses of hosts. A host whose address changed is disconnected;
  //! hosts that are not in `hosts` keep their address.
  void SetHosts(const std::vector<state::HostRecord>& hosts);
  //! Sends a message, after connecting if needed. Drops the message if the host
  //! is unknown or unreachable, or if `max_pending` is reached, or if it is
  //! repeated in any case (control::IsRepeated) and the host has not handled
  //! the last one of its kind. Known are those of SetHosts and those that have
  //! connected to this host.
  void Send(const HostName& to, const control::PeerMessage& message);
  //! Returns whether a message of this kind (control::MessageKind) to a host
  //! waits for its connection, or has not been handled by the host.
  bool IsBehind(const HostName& host, std::string_view kind) const;
  //! Runs the event loop and calls `tick` every `interval`, until Stop.
  void Run(std::chrono::milliseconds interval,
           const std::function<void()>& tick);
  //! Queues a function to run on the event loop's thread.
  void Post(std::function<void()> task);
  //! Makes Run return after its next tick.
  void Stop();
  //! Returns how long ago bytes of a host last arrived, also of a message that
  //! is not complete, but not of the agreed log's messages; nullopt if it has
  //! no connection to this one. Takes time that grows with the number of
  //! connections.
  std::optional<Duration> SilenceOf(const HostName& host) const;
  //! Returns the total size of the sent messages in bytes.
  std::uint64_t SentBytes() const;
  //! Returns what was sent, by kind of message.
  const std::map<TrafficKind, SentTraffic>& Sent() const;
  //! Returns the messages that other hosts have not said they handled. Takes
  //! time that grows with the number of hosts.
  SentTraffic Unanswered() const;
  //! Returns the longest time until a host handled a message of the agreed log
  //! since the last call.
  Duration TakeSlowestLogCall();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace tamarackwing::hosts
