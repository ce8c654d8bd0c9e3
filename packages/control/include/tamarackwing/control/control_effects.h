#pragma once

#include <cstdint>
#include <vector>

#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/state/agreed_log.h"
#include "tamarackwing/state/operation_ledger.h"

namespace tamarackwing::control {

//! The outcome of a change that was proposed on this host.
struct ChangeDone {
  std::uint64_t number = 0;
  state::ApplyOutcome outcome;
};

//! A region status received from another host of the region.
struct RegionStatusUpdate {
  HostName from;
  RegionStatus status;
};

//! The load of another region, from the reply of a probed host there.
struct ProbeResult {
  HostName from;
  ProbeReply reply;
};

//! Signs received from another host; see ServerDoubts.
struct DoubtsUpdate {
  HostName from;
  std::vector<HeardDoubt> doubts;
};

//! The actions that a control node requests from its caller. Log batches must
//! be written in order, and so must ledger batches; all other actions may be
//! taken in any order.
struct ControlEffects {
  std::vector<PeerSend> sends;
  std::vector<state::LogBatch> log_batches;
  std::vector<state::LedgerBatch> ledger_batches;
  std::vector<ChangeDone> changes;
  std::vector<state::PermitReply> permits;
  std::vector<policy::ChunkGrant> grants;
  std::vector<policy::RateGrant> rate_grants;
  std::vector<policy::QuarantineNotice> quarantine_notices;
  std::vector<KeyDigest> withdrawn;
  std::vector<RegionStatusUpdate> status_updates;
  std::vector<StatusReply> statuses;
  std::vector<ProbeResult> probes;
  //! Reports of backend servers of this region, for this entry host.
  std::vector<policy::ServerReport> servers;
  std::vector<DoubtsUpdate> doubts;
  //! Whether the traffic threads need a new snapshot.
  bool snapshot_changed = false;
};

}  // namespace tamarackwing::control
