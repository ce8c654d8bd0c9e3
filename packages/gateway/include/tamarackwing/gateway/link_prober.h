#pragma once

#include <memory>

#include "tamarackwing/gateway/server_directory.h"
#include "tamarackwing/http/asio.h"

namespace tamarackwing::gateway {

//! Opens connections to backend servers when their directory wants to know
//! whether this host's links to them are up.
//! Thread safety: Tick from one thread.
class LinkProber {
 public:
  //! Preconditions: `context` and `servers` outlive the prober and its probes,
  //! which end with the event loop.
  LinkProber(http::asio::io_context& context, ServerDirectory& servers);

  //! Starts the probes that are due; to be called every few tens of
  //! milliseconds.
  void Tick();

 private:
  http::asio::io_context& context;
  ServerDirectory& servers;
};

}  // namespace tamarackwing::gateway
