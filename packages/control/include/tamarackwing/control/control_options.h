#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <vector>

#include "tamarackwing/policy/quarantine_judge.h"
#include "tamarackwing/policy/rate_leases.h"
#include "tamarackwing/state/agreed_log.h"
#include "tamarackwing/state/host_record.h"
#include "tamarackwing/state/operation_ledger.h"

namespace tamarackwing::control {

//! Identity, bootstrap membership, durations and bounds of a control node.
struct ControlOptions {
  state::HostRecord self;
  //! All hosts that are known at the start.
  std::vector<state::HostRecord> seeds;
  //! The voters that bootstrap the log; empty on a host that lost its disk.
  std::set<HostName> initial_voters;
  //! Desired number of voters; hosts with disks become voters until it is
  //! reached. Zero means the number of initial voters.
  std::size_t voters = 0;
  state::LogOptions log;
  state::LedgerOptions ledger;
  //! Interval between feed requests, and between reports to the hosts of the
  //! region. Large regions use a multiple of it for the latter.
  std::chrono::milliseconds report{300};
  //! Interval between probes of other regions.
  std::chrono::milliseconds probe{1'000};
  //! A host without contact for this long is considered failed.
  std::chrono::milliseconds host_lost{3'000};
  //! Time after the start of a host that takes another's place within which the
  //! next losses that the deployment tolerates do not come. A voter that was
  //! already silent when such a host joined is replaced within it.
  std::chrono::milliseconds catch_up{4'000};
  //! A voter that has been silent for this long is replaced by any host, also
  //! by one that stood by before, and a host that catches up in silence is
  //! given up. Long enough for most cuts between regions to end.
  std::chrono::milliseconds voter_lost{10'000};
  //! How long after the last leader contact a host still serves keys that do
  //! not have its region as a home region.
  std::chrono::milliseconds key_freshness{5'000};
  //! How long a restarted host waits for a leader before it serves with the
  //! newest state of its region.
  std::chrono::milliseconds catch_up_wait{3'000};
  //! Lifetime of a token chunk, by its holder's clock.
  std::chrono::milliseconds chunk_life{2'000};
  //! How long a coordinator may grant tokens after the last contact with a
  //! leader or with every other member of the view.
  std::chrono::milliseconds view_lease{2'000};
  policy::RateLeaseOptions rates;
  policy::QuarantineOptions quarantine;
  //! Maximum clock drift between two hosts over the longest of these durations.
  std::chrono::milliseconds drift{200};
  //! Percentage of each region's share that is divided among its hosts as
  //! static quota shares; the region's allocator grants the rest.
  unsigned slice_percent = 8;
  //! Number of hosts per region that own a static quota share.
  std::size_t slices = 8;
  //! Number of entries after which the log is compacted.
  std::size_t compact_after = 4'096;
  //! Payload bytes after which the log is compacted.
  std::size_t compact_after_bytes = 1024 * 1024;
  //! Interval at which reports of backend servers are sent to the hosts with
  //! disks in their region.
  std::chrono::milliseconds relay{100};
  //! Interval at which an entry host fetches what has changed in them.
  std::chrono::milliseconds roster{500};
  //! How long a report counts as a sign of life of its server.
  std::chrono::milliseconds server_lease{3'000};
  //! How long, and at which interval, the report of a server that shuts down is
  //! repeated.
  std::chrono::milliseconds leaving_resend_for{4'000};
  std::chrono::milliseconds leaving_resend_every{500};
  //! Maximum number of hosts that keep a region's ledger.
  std::size_t view_members = 3;
};

}  // namespace tamarackwing::control
