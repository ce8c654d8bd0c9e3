#pragma once

#include "tamarackwing/policy/server_report.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::gateway {

//! Returns the host that a backend server should send its next reports to: a
//! live host with a disk in the server's region that is not draining, the same
//! one whichever host is asked; the servers of a region are spread evenly over
//! these. Null if there is none. The result lives as long as `snapshot.hosts`.
//! Thread safety: as for `snapshot`.
const state::HostRecord* ReportHostFor(const state::Snapshot& snapshot,
                                       const policy::ServerReport& report);

}  // namespace tamarackwing::gateway
