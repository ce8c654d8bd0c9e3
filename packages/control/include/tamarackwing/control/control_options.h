#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <vector>

#include "tamarackwing/policy/rate_leases.h"
#include "tamarackwing/state/agreed_log.h"
#include "tamarackwing/state/host_record.h"
#include "tamarackwing/state/operation_ledger.h"

namespace tamarackwing::control {

//! What a control node is told at its start.
struct ControlOptions {
  state::HostRecord self;
  //! All hosts known at the start.
  std::vector<state::HostRecord> seeds;
  //! The founding voters; empty on a host that lost its disk.
  std::set<HostName> initial_voters;
  //! Hosts with disks are admitted as voters up to this number; zero keeps the
  //! number of the founding ones.
  std::size_t voters = 0;
  state::LogOptions log;
  state::LedgerOptions ledger;
  //! How often hosts report to their source and to their region.
  std::chrono::milliseconds report{300};
  //! How often a host probes another region.
  std::chrono::milliseconds probe{1'000};
  //! A host that has not been heard for so long is lost.
  std::chrono::milliseconds host_lost{3'000};
  //! A voter that has not been heard for so long is replaced.
  std::chrono::milliseconds voter_lost{10'000};
  //! How long keys of other home regions go on without word from a leader.
  std::chrono::milliseconds key_freshness{5'000};
  //! How long a host that restarts looks for the newest state of its region.
  std::chrono::milliseconds catch_up_wait{3'000};
  //! The life of a token chunk, by its holder's clock.
  std::chrono::milliseconds chunk_life{2'000};
  //! How long a coordinator's right to give out tokens lasts without word.
  std::chrono::milliseconds view_lease{2'000};
  policy::RateLeaseOptions rates;
  //! What clocks may differ over the longest of these times.
  std::chrono::milliseconds drift{200};
  //! Part of each region's share that its hosts own outright, in percent.
  unsigned slice_percent = 8;
  //! Hosts of a region that own a slice.
  std::size_t slices = 8;
  //! Entries after which the log is compacted.
  std::size_t compact_after = 4'096;
  //! Bytes of payload after which it is.
  std::size_t compact_after_bytes = 1024 * 1024;
  //! How often reports of backend servers go to the entry hosts.
  std::chrono::milliseconds relay{100};
  //! How long, and how often, it is told again that a server leaves.
  std::chrono::milliseconds leaving_resend_for{4'000};
  std::chrono::milliseconds leaving_resend_every{500};
  //! Hosts that keep a region's ledger.
  std::size_t view_members = 3;
};

}  // namespace tamarackwing::control
