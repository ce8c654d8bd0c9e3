#pragma once

#include <cstdint>
#include <vector>

#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/state/agreed_log.h"
#include "tamarackwing/state/operation_ledger.h"

namespace tamarackwing::control {

//! The outcome of a change that was proposed here.
struct ChangeDone {
  std::uint64_t number = 0;
  state::ApplyOutcome outcome;
};

//! Load and announcements that another host of the region sent.
struct RegionStatusUpdate {
  HostName from;
  RegionStatus status;
};

//! How another region stands, from the host that was probed there.
struct ProbeResult {
  HostName from;
  ProbeReply reply;
};

//! What a control node wants done. Batches are written in order, each kind on
//! its own; the rest may be done in any order.
struct ControlEffects {
  std::vector<PeerSend> sends;
  std::vector<state::LogBatch> log_batches;
  std::vector<state::LedgerBatch> ledger_batches;
  std::vector<ChangeDone> changes;
  std::vector<state::PermitReply> permits;
  std::vector<policy::ChunkGrant> grants;
  std::vector<policy::RateGrant> rate_grants;
  std::vector<KeyDigest> withdrawn;
  std::vector<RegionStatusUpdate> status_updates;
  std::vector<StatusReply> statuses;
  std::vector<ProbeResult> probes;
  //! Reports of backend servers of this region.
  std::vector<policy::ServerReport> servers;
  //! Whether traffic needs a new snapshot.
  bool snapshot_changed = false;
};

}  // namespace tamarackwing::control
