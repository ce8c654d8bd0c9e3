#pragma once

#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/state/configuration_set.h"
#include "tamarackwing/state/host_record.h"
#include "tamarackwing/state/region_view.h"

namespace tamarackwing::state {

//! Publishes a change of the set against a base version.
struct PublishSet {
  PublishId id;
  SetVersion base = 0;
  SetDelta delta;
};

//! Puts a whole set in force where no set with this number, or a higher one,
//! is: the highest number wins.
struct ReplaceSet {
  std::uint64_t number = 0;
  //! What the operator sent, as it was sent; read back, and never parsed here.
  std::string document;
  ConfigurationSet set;
};

//! Closes a data centre: its servers get no new work until it is opened.
struct CloseDataCentre {
  DataCentreName data_centre;
  bool closed = true;
};

//! Grants one key, whatever the version of the set.
struct GrantKey {
  PublishId id;
  Key key;
};

//! Withdraws keys for good.
struct WithdrawKeys {
  std::vector<KeyDigest> digests;
};

//! Adds a host, or replaces its record after a restart.
struct PutHost {
  HostRecord host;
};

//! Removes a host that will not come back under its incarnation.
struct RemoveHost {
  HostName host;
};

//! Starts or ends the drain of a host.
struct DrainHost {
  HostName host;
  bool draining = true;
};

//! Changes a region's view.
struct PutRegionView {
  RegionView view;
};

//! Names the hosts of a region that answer the leader.
struct SetLiveHosts {
  RegionName region;
  std::set<HostName> hosts;
};

//! Says that every host has applied the set of this version, and that what it
//! had given out before is used or expired.
struct ConfirmVersion {
  SetVersion version = 0;
};

//! A change of the control state.
using ControlChange = std::variant<PublishSet,
                                   GrantKey,
                                   WithdrawKeys,
                                   PutHost,
                                   RemoveHost,
                                   DrainHost,
                                   PutRegionView,
                                   ConfirmVersion,
                                   SetLiveHosts,
                                   ReplaceSet,
                                   CloseDataCentre>;

//! Why bytes are no change.
enum class DecodeError { kMalformed };

//! A change as the payload of a log entry. Thread safety: reentrant.
std::string EncodeChange(const ControlChange& change);

//! Reads a payload. Thread safety: reentrant.
Expected<ControlChange, DecodeError> DecodeChange(std::string_view payload);

}  // namespace tamarackwing::state
