#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/state/control_change.h"
#include "tamarackwing/state/control_state.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::operators {

//! Result of a change that an operator requested.
struct OrderResult {
  //! Empty if no leader confirmed the change in time. It may still take effect;
  //! a retry with the same id returns its outcome.
  std::optional<state::ApplyOutcome> outcome;
};

//! Interface: performs the operations of the operators' API.
//! Thread safety: called from every traffic thread.
class OperatorService {
 public:
  using ChangeCallback = std::function<void(OrderResult)>;
  using StatusCallback =
      std::function<void(std::optional<control::StatusReply>)>;

  virtual ~OperatorService() = default;
  //! Makes a change through the replicated log; `callback` is called once.
  virtual void Change(state::ControlChange change, ChangeCallback callback) = 0;
  //! Reports the outcome that a publish would have according to this host's own
  //! state, without making the change.
  virtual void Check(state::PublishSet publish, ChangeCallback callback) = 0;
  //! Withdraws a key immediately, even without a leader.
  virtual void Withdraw(KeyDigest digest) = 0;
  //! Reports the hosts' progress as known to the leader, or nothing if no
  //! leader replies.
  virtual void Status(StatusCallback callback) = 0;
  //! Returns the state that this host currently uses.
  virtual std::shared_ptr<const state::Snapshot> Snapshot() = 0;
};

}  // namespace tamarackwing::operators
