#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/http/endpoint.h"
#include "tamarackwing/policy/offered_work.h"

namespace tamarackwing::gateway {

//! A host to which a request can be forwarded.
struct ForwardTarget {
  HostName host;
  RegionName region;
  http::Endpoint endpoint;
  //! Round-trip time plus the wait for a slot, without the service time.
  Duration expected{};
};

//! Another region in a spill plan, and a host of it.
struct PlannedRegion {
  ForwardTarget host;
  Duration round_trip{};
  //! Share of this region's movable calls to send there; may be zero.
  std::uint32_t per_mille = 0;
};

//! Where to send a target's movable calls; see policy::PlanSpill.
struct SpillPlan {
  //! Every other region whose load and capacity are known.
  std::vector<PlannedRegion> regions;
  //! Sum of the shares, at most 1000.
  std::uint32_t per_mille = 0;
};

//! Interface: loads and expected waits of this region and of others, and the
//! hosts that can serve forwarded requests.
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
  //! Returns the current plan for a target; null if there is none or it has
  //! expired.
  virtual std::shared_ptr<const SpillPlan> PlanFor(
      const std::string& target) = 0;
  //! Records a call for `target` that a caller of this region brings.
  virtual void NoteOffered(const std::string& target,
                           const policy::OfferedCall& call) = 0;
  //! Records a finished stream of `target` that a server of this region served.
  virtual void NoteServed(const std::string& target,
                          const policy::ServedCall& call) = 0;
};

}  // namespace tamarackwing::gateway
