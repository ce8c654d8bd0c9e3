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

//! The asks and updates of one host, repeated until they are answered. A grant
//! that nobody waits for any more is given back. Not thread-safe.
class LedgerClient {
 public:
  LedgerClient(HostName self,
               std::uint64_t incarnation,
               std::chrono::milliseconds resend);

  //! Asks the ledger of a region; the number names the ask.
  std::uint64_t Request(const RegionName& region,
                        const OperationId& operation,
                        const state::ControlState& state,
                        TimePoint now,
                        std::vector<PeerSend>& sends);
  //! Says how a granted operation ended; does nothing without a grant.
  void Update(const RegionName& region,
              const OperationId& operation,
              state::OperationState outcome,
              const state::StoredAnswer& answer,
              const state::ControlState& state,
              TimePoint now,
              std::vector<PeerSend>& sends);
  //! Takes a permit; false where nobody waits for it.
  bool HandlePermit(const state::PermitReply& permit, TimePoint now);
  //! Takes the word that an update is kept.
  void HandleUpdated(const state::LedgerUpdated& updated);
  //! Sends again; asks that have waited too long are given up.
  std::vector<state::PermitReply> Tick(const state::ControlState& state,
                                       TimePoint now,
                                       std::vector<PeerSend>& sends);
  //! Updates that are not yet kept.
  std::size_t OpenUpdates() const { return this->updates.size(); }

 private:
  struct Asking {
    RegionName region;
    state::PermitRequest ask;
    TimePoint since;
    TimePoint sent;
  };
  struct Updating {
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
  std::map<std::uint64_t, Asking> asks;
  std::map<std::uint64_t, Asking> given_up;
  std::map<std::uint64_t, Updating> updates;
  std::map<OperationId, Granted> granted;
};

}  // namespace tamarackwing::control
