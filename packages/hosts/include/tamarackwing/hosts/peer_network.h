#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/state/host_record.h"

namespace tamarackwing::hosts {

class PeerHandler;

//! What a network is told at its start.
struct NetworkOptions {
  HostName self;
  std::string address;
  std::uint16_t port = 0;
  //! Known to every host of the cluster and to nobody else.
  std::string secret;
  //! A call without an answer for so long ends its connection.
  std::chrono::milliseconds silence{2'000};
  //! How long a lost connection is not tried again.
  std::chrono::milliseconds reconnect{200};
  //! Messages that wait for one peer; more are dropped.
  std::size_t waiting = 1'024;
};

//! Why the peers' listener could not be opened.
enum class NetworkError { kCannotListen };

//! Cap'n Proto RPC between hosts, and the loop of the control thread.
//! Thread safety: made, run and destroyed on one thread; Post and Stop from
//! any.
class PeerNetwork {
 public:
  //! Precondition: `handler` outlives the network.
  PeerNetwork(NetworkOptions options, PeerHandler& handler);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  //! Opens the listener.
  Expected<void, NetworkError> Listen();
  //! Tells where the hosts are; addresses that change are taken up.
  void SetHosts(const std::vector<state::HostRecord>& hosts);
  //! Sends a message, or drops it where the host cannot be reached.
  void Send(const HostName& to, const control::PeerMessage& message);
  //! Runs the loop and `tick` every so often, until Stop.
  void Run(std::chrono::milliseconds every, const std::function<void()>& tick);
  //! Runs a function on the loop's thread.
  void Post(std::function<void()> task);
  //! Ends Run.
  void Stop();
  //! Bytes of messages that have been sent.
  std::uint64_t SentBytes() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace tamarackwing::hosts
