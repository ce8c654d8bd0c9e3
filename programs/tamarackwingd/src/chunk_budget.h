#pragma once

#include <deque>
#include <functional>
#include <map>
#include <mutex>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/gateway/token_budget.h"
#include "tamarackwing/policy/budget_allocator.h"
#include "tamarackwing/policy/budget_holder.h"
#include "tamarackwing/policy/budget_messages.h"
#include "tamarackwing/policy/token_bucket.h"

namespace tamarackwing::daemon {

//! The token budgets as traffic sees them: chunks at hand first, then the
//! host's own slice, then a new chunk of the region's allocator.
//! Thread safety: every method is callable from any thread.
class ChunkBudget final : public gateway::TokenBudget {
 public:
  //! How tokens come to this host.
  struct Links {
    //! Asks the region's allocator.
    std::function<void(policy::ChunkRequest)> request;
    //! Gives a chunk back to it.
    std::function<void(policy::ChunkSettled)> settle;
    //! Rate and burst that the host owns outright of a workspace.
    std::function<std::pair<TokenCount, TokenCount>(const WorkspaceName&)>
        slice;
  };

  ChunkBudget(const Clock& clock,
              std::chrono::milliseconds chunk_life,
              TokenCount open_rate);

  //! Precondition: called before traffic starts.
  void SetLinks(Links links);
  void Reserve(const WorkspaceName& workspace,
               TokenCount tokens,
               Callback callback) override;
  void Settle(const WorkspaceName& workspace,
              std::uint64_t reservation,
              TokenCount used) override;
  //! Takes the allocator's answer.
  void HandleGrant(const policy::ChunkGrant& grant);
  //! Gives back what is used up or idle, and ends waits that took too long.
  void Tick();

 private:
  struct Waiter {
    TokenCount tokens = 0;
    Callback callback;
    TimePoint since;
  };
  struct Asked {
    WorkspaceName workspace;
    TimePoint at;
  };
  using Answers = std::vector<std::pair<Callback, gateway::BudgetAnswer>>;

  bool TryReserve(const WorkspaceName& workspace,
                  TokenCount tokens,
                  gateway::BudgetAnswer& answer);
  void FillFromSlice(const WorkspaceName& workspace, TokenCount tokens);
  void Ask(const WorkspaceName& workspace,
           std::vector<policy::ChunkRequest>& requests);
  gateway::BudgetAnswer ReserveOpen(TokenCount tokens);

  const Clock& clock;
  std::chrono::milliseconds chunk_life;
  Links links;
  std::mutex mutex;
  policy::BudgetHolder holder;
  policy::BudgetAllocator own_slice;
  policy::TokenBucket open;
  std::uint64_t next_chunk = 1;
  std::map<std::uint64_t, Asked> asked;
  std::map<WorkspaceName, std::deque<Waiter>> waiting;
};

}  // namespace tamarackwing::daemon
