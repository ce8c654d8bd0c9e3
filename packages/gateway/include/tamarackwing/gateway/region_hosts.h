#pragma once

#include <string>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/http/endpoint.h"

namespace tamarackwing::gateway {

//! A host to which a request can be forwarded.
struct ForwardTarget {
  HostName host;
  RegionName region;
  http::Endpoint endpoint;
  //! Round-trip time plus the wait for a slot, without the service time.
  Duration expected{};
};

//! Interface: expected waits in this region and in others, and the hosts that
//! can serve forwarded requests.
//! Thread safety: every method is callable from any thread.
class RegionHosts {
 public:
  virtual ~RegionHosts() = default;
  //! Returns the expected wait of a request for `target` in this host's own
  //! region, from the load of all its hosts.
  virtual Duration OwnWait(const std::string& target) = 0;
  //! Returns live hosts of other regions with slots for `target`, best first.
  virtual std::vector<ForwardTarget> Candidates(const std::string& target) = 0;
  //! Returns the live entry hosts of this host's own region that reach backend
  //! servers, without this host, in order of their names.
  virtual std::vector<ForwardTarget> Neighbours() = 0;
};

}  // namespace tamarackwing::gateway
