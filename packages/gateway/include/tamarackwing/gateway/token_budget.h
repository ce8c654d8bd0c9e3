#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::gateway {

//! Result of a reservation request.
struct BudgetAnswer {
  bool granted = false;
  //! Identifies the reservation for Settle.
  std::uint64_t reservation = 0;
  //! Delay after which a new request may succeed.
  std::chrono::milliseconds retry_after{0};
  //! For logs: tokens per second that this host may admit, and that all hosts
  //! together may; zero if unknown.
  TokenCount host_rate = 0;
  TokenCount fleet_rate = 0;
  //! For logs: the hosts that were asked, and what each said.
  std::string keepers;
};

//! Interface: token rate limits of all workspaces.
//! Thread safety: every method is callable from any thread.
class TokenBudget {
 public:
  using Callback = std::function<void(BudgetAnswer)>;

  virtual ~TokenBudget() = default;
  //! Reserves tokens; `callback` is called once, from any thread, possibly
  //! before this returns. Until `latest`, by the clock that also counts
  //! suspended time, a budget that is short of tokens may ask hosts of other
  //! regions for them.
  virtual void Reserve(const WorkspaceName& workspace,
                       TokenCount tokens,
                       TimePoint latest,
                       Callback callback) = 0;
  //! Ends a reservation after `used` of its tokens were used.
  virtual void Settle(const WorkspaceName& workspace,
                      std::uint64_t reservation,
                      TokenCount used) = 0;
};

}  // namespace tamarackwing::gateway
