#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::gateway {

//! Whether tokens were reserved.
struct BudgetAnswer {
  bool granted = false;
  //! Names the reservation that Settle ends.
  std::uint64_t reservation = 0;
  //! When a new try may succeed.
  std::chrono::milliseconds retry_after{0};
  //! What decided, for logs: tokens a second that this host may let through,
  //! and those of all hosts; zero where it is not known.
  TokenCount host_rate = 0;
  TokenCount fleet_rate = 0;
};

//! Interface: the token budgets of all workspaces.
//! Thread safety: every method is callable from any thread.
class TokenBudget {
 public:
  using Callback = std::function<void(BudgetAnswer)>;

  virtual ~TokenBudget() = default;
  //! Reserves tokens; `callback` is called once, from any thread, possibly
  //! before this returns.
  virtual void Reserve(const WorkspaceName& workspace,
                       TokenCount tokens,
                       Callback callback) = 0;
  //! Ends a reservation of which `used` tokens were used.
  virtual void Settle(const WorkspaceName& workspace,
                      std::uint64_t reservation,
                      TokenCount used) = 0;
};

}  // namespace tamarackwing::gateway
