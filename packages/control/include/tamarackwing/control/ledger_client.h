#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/state/control_state.h"
#include "tamarackwing/state/ledger_message.h"

namespace tamarackwing::control {

//! The permit requests and updates that one host sends to ledgers, repeated
//! until the reply arrives. A grant that arrives after its request has timed
//! out is released. Not thread-safe.
class LedgerClient {
 public:
  LedgerClient(HostName self,
               std::uint64_t incarnation,
               std::chrono::milliseconds resend);

  //! Requests a permit from the ledger of a region. Returns the request's
  //! number.
  std::uint64_t Request(const RegionName& region,
                        const OperationId& operation,
                        const state::ControlState& state,
                        TimePoint now,
                        std::vector<PeerSend>& sends);
  //! Reports the outcome of a granted operation. Does nothing without a grant.
  void Update(const RegionName& region,
              const OperationId& operation,
              state::OperationState outcome,
              const state::StoredAnswer& answer,
              const state::ControlState& state,
              TimePoint now,
              std::vector<PeerSend>& sends);
  //! Handles the reply to a permit request. Returns false if the request is not
  //! pending, for instance because it has timed out.
  bool HandlePermit(const state::PermitReply& permit, TimePoint now);
  //! Records the acknowledgement of an update.
  void HandleUpdated(const state::LedgerUpdated& updated);
  //! Sends requests and updates without a reply again. Returns a refusal for
  //! each request that has timed out.
  std::vector<state::PermitReply> Tick(const state::ControlState& state,
                                       TimePoint now,
                                       std::vector<PeerSend>& sends);
  //! Returns the number of updates that the ledger has not acknowledged.
  std::size_t OpenUpdates() const { return this->updates.size(); }

 private:
  struct PendingRequest {
    RegionName region;
    state::PermitRequest request;
    TimePoint since;
    TimePoint sent;
  };
  struct PendingUpdate {
    RegionName region;
    state::LedgerUpdate update;
    TimePoint sent;
  };
  struct Granted {
    RegionName region;
    state::PermitRequestId id;
  };

  void AddUpdate(const RegionName& region,
                 const state::LedgerUpdate& update,
                 TimePoint now);

  HostName self;
  std::uint64_t incarnation;
  std::chrono::milliseconds resend;
  std::uint64_t next_number = 1;
  std::map<std::uint64_t, PendingRequest> requests;
  std::map<std::uint64_t, PendingRequest> timed_out;
  std::map<std::uint64_t, PendingUpdate> updates;
  std::map<OperationId, Granted> granted;
};

}  // namespace tamarackwing::control
