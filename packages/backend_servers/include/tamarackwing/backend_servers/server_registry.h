#pragma once

#include "tamarackwing/backend_servers/announcement.h"
#include "tamarackwing/policy/server_report.h"

namespace tamarackwing::backend_servers {

//! Interface: receives the reports that backend servers send about themselves.
//! Thread safety: called from every traffic thread.
class ServerRegistry {
 public:
  virtual ~ServerRegistry() = default;
  //! Records an announcement or renewal that was received directly from the
  //! server. Returns false if the server is in another region.
  virtual bool Announce(const policy::ServerReport& report) = 0;
  //! Records cache events.
  virtual void NoteCacheEvents(const CacheEvents& events) = 0;
};

}  // namespace tamarackwing::backend_servers
