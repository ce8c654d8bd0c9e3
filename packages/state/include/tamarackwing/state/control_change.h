#pragma once

#include <cstdint>
#include <optional>
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

//! Changes the configuration set if its version still is `base`. A resend with
//! the same id gets the first outcome.
struct PublishSet {
  PublishId id;
  SetVersion base = 0;
  SetDelta delta;
};

//! Replaces the complete configuration set, unless a set with this or a higher
//! number is already in effect.
struct ReplaceSet {
  std::uint64_t number = 0;
  //! The operator's document, verbatim. Returned to operators on request; never
  //! parsed here.
  std::string document;
  ConfigurationSet set;
};

//! Closes (evacuates) or reopens a data centre. Servers of a closed data centre
//! get no new requests.
struct CloseDataCentre {
  DataCentreName data_centre;
  bool closed = true;
  //! The data centre's revision that the change is based on: unless it is still
  //! the current one, the change conflicts. nullopt: applies to any, as all do
  //! while there are hosts of formats before kRevisionFormat.
  std::optional<LogIndex> revision;
};

//! Adds one key to the set in effect, regardless of its version.
struct GrantKey {
  PublishId id;
  Key key;
};

//! Withdraws keys permanently: a withdrawn key cannot be granted again.
struct WithdrawKeys {
  std::vector<KeyDigest> digests;
};

//! Adds a host, or replaces its record after a restart. Ignored if a newer
//! incarnation is known.
struct PutHost {
  HostRecord host;
};

//! Removes a host whose current incarnation will not return.
struct RemoveHost {
  HostName host;
};

//! Starts or cancels the drain of a host.
struct DrainHost {
  HostName host;
  bool draining = true;
};

//! Installs the next membership view of a region. Ignored unless its epoch
//! directly follows the current one.
struct PutRegionView {
  RegionView view;
};

//! Replaces the set of live hosts of a region, as seen by the leader.
struct SetLiveHosts {
  RegionName region;
  std::set<HostName> hosts;
};

//! Records that every host has applied the set of this version, and that all
//! tokens granted under older versions have been used or have expired.
struct ConfirmVersion {
  SetVersion version = 0;
};

//! A change of the control state. Payloads store the index of the alternative,
//! so the order of alternatives must not change.
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

//! Identifies a proposal among all that any process of any host ever makes.
struct ProposalId {
  HostName host;
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
};

//! Reason why bytes could not be decoded.
enum class DecodeError { kMalformed };

//! Encodes a change as the payload of a log entry. Thread safety: reentrant.
std::string EncodeChange(const ControlChange& change);

//! As above, for a proposal: no other proposal has the same payload. Builds
//! that don't know the id ignore it. Thread safety: reentrant.
std::string EncodeProposal(const ControlChange& change,
                           const ProposalId& proposal);

//! Decodes the payload of a log entry. Errors: kMalformed.
//! Thread safety: reentrant.
Expected<ControlChange, DecodeError> DecodeChange(std::string_view payload);

}  // namespace tamarackwing::state
