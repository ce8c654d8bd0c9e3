#pragma once

#include "tamarackwing/backend_servers/announcement.h"
#include "tamarackwing/policy/server_report.h"

namespace tamarackwing::backend_servers {

//! Interface: takes what backend servers say of themselves.
//! Thread safety: called from every traffic thread.
class ServerRegistry {
 public:
  virtual ~ServerRegistry() = default;
  //! Takes an announcement or renewal that came straight from the server;
  //! false where the server stands in another region.
  virtual bool Announce(const policy::ServerReport& report) = 0;
  //! Takes cache events.
  virtual void NoteCacheEvents(const CacheEvents& events) = 0;
};

}  // namespace tamarackwing::backend_servers
