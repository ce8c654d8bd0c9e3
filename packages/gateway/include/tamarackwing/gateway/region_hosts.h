#pragma once

#include <string>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/http/endpoint.h"

namespace tamarackwing::gateway {

//! A host of another region that could serve a request.
struct ForwardTarget {
  HostName host;
  RegionName region;
  http::Endpoint endpoint;
  //! The way there and back and the wait for a slot, without the service.
  Duration expected{};
};

//! Interface: what other regions' hosts could serve.
//! Thread safety: every method is callable from any thread.
class RegionHosts {
 public:
  virtual ~RegionHosts() = default;
  //! The wait that a request for `target` should expect in this host's own
  //! region, by all its hosts.
  virtual Duration OwnWait(const std::string& target) = 0;
  //! Live hosts of other regions with slots for `target`, best first.
  virtual std::vector<ForwardTarget> Candidates(const std::string& target) = 0;
};

}  // namespace tamarackwing::gateway
