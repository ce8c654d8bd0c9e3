#pragma once

#include <cstdint>
#include <optional>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! Where a stream began. It may go on only at a server of the same service with
//! the same software version.
struct StreamOrigin {
  //! Digest of the service's name.
  std::uint64_t service = 0;
  //! Digest of the version of the server's software.
  std::uint64_t software = 0;
  //! Region of the server.
  RegionName region;

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

//! Tells a host that keeps the origin of a stream where it began.
struct StreamBegun {
  //! Digest that identifies the attempt that began the stream.
  std::uint64_t stream = 0;
  StreamOrigin origin;
};

//! Asks a host for the origin of a stream.
struct StreamQuestion {
  std::uint64_t number = 0;
  std::uint64_t stream = 0;
};

//! Answers a question; no origin if the host does not know the stream.
struct StreamAnswer {
  std::uint64_t number = 0;
  std::optional<StreamOrigin> origin;
};

}  // namespace tamarackwing::policy
