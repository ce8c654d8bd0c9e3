#pragma once

#include <cstdint>
#include <string>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

//! Format of log entries and states from which on they may be packed (Pack).
//! Builds of format 0 read only plain ones.
inline constexpr std::uint32_t kPackedFormat = 1;
//! Format from which on a change of a data centre may name the revision that it
//! is based on. Builds of older formats apply it to any revision.
inline constexpr std::uint32_t kRevisionFormat = 2;
//! Format of the builds that pass on the leader's notices (RelayedNotice).
inline constexpr std::uint32_t kRelayFormat = 3;
//! Newest format that this build reads.
inline constexpr std::uint32_t kNewestFormat = kRelayFormat;

//! A host's entry in the agreed membership.
struct HostRecord {
  HostName name;
  RegionName region;
  DataCentreName data_centre;
  //! IP address and port on which callers connect; port zero on a host that is
  //! not an entry host.
  std::string caller_address;
  std::uint16_t caller_port = 0;
  //! IP address for other hosts, and its ports for peer messages and for
  //! forwarded requests.
  std::string peer_address;
  std::uint16_t peer_port = 0;
  std::uint16_t forward_port = 0;
  bool has_disk = false;
  //! Increases with each start of the process, by more than the number of
  //! requests of any kind that a process makes.
  std::uint64_t incarnation = 0;
  bool draining = false;
  //! Newest format of log entries and states that the host's build reads.
  std::uint32_t reads_format = 0;

  //! Returns true for an entry host.
  bool IsEntryHost() const { return this->caller_port != 0; }

  friend bool operator==(const HostRecord&, const HostRecord&) = default;
};

}  // namespace tamarackwing::state
