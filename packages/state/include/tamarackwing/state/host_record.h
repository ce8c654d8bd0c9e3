#pragma once

#include <cstdint>
#include <string>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

//! A host as the agreed membership knows it.
struct HostRecord {
  HostName name;
  RegionName region;
  DataCentreName data_centre;
  //! IP address and port for callers.
  std::string caller_address;
  std::uint16_t caller_port = 0;
  //! IP address and port for other hosts' calls and forwarded requests.
  std::string peer_address;
  std::uint16_t peer_port = 0;
  std::uint16_t forward_port = 0;
  bool has_disk = false;
  //! Grows with each start of the process.
  std::uint64_t incarnation = 0;
  bool draining = false;

  //! Whether it is an entry host.
  bool IsEntryHost() const { return this->caller_port != 0; }

  friend bool operator==(const HostRecord&, const HostRecord&) = default;
};

}  // namespace tamarackwing::state
