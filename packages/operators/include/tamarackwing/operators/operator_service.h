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

//! What became of an order.
struct OrderResult {
  //! Nothing where no leader took it in time: it may still take effect, and a
  //! resend with the same id gets its outcome.
  std::optional<state::ApplyOutcome> outcome;
};

//! Interface: what operators can do.
//! Thread safety: called from every traffic thread.
class OperatorService {
 public:
  using ChangeCallback = std::function<void(OrderResult)>;
  using StatusCallback =
      std::function<void(std::optional<control::StatusReply>)>;

  virtual ~OperatorService() = default;
  //! Makes a change through the agreed log; `callback` is called once.
  virtual void Change(state::ControlChange change, ChangeCallback callback) = 0;
  //! What a publish would come to, by this host's own state.
  virtual void Check(state::PublishSet publish, ChangeCallback callback) = 0;
  //! Withdraws a key at once, even without a leader.
  virtual void Withdraw(KeyDigest digest) = 0;
  //! The leader's view of the hosts; nothing where none answers.
  virtual void Status(StatusCallback callback) = 0;
  //! What this host goes by.
  virtual std::shared_ptr<const state::Snapshot> Snapshot() = 0;
};

}  // namespace tamarackwing::operators
