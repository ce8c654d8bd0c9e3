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

//! Token budgets of this host. A reservation is served from the chunks that the
//! host holds, then from its static quota share, then from a new chunk of the
//! region's allocator.
//! Thread safety: every method is callable from any thread.
class ChunkBudget final : public gateway::TokenBudget {
 public:
  //! Functions by which this host gets and returns tokens.
  struct TokenSources {
    //! Requests a chunk from the region's allocator.
    std::function<void(policy::ChunkRequest)> request;
    //! Returns a chunk to the allocator.
    std::function<void(policy::ChunkSettled)> settle;
    //! Returns the host's static quota share of a workspace: rate in tokens per
    //! second, and burst in tokens.
    std::function<std::pair<TokenCount, TokenCount>(const WorkspaceName&)>
        slice;
  };

  //! `chunk_life` counts from the request of a chunk; `open_rate` is the limit
  //! for requests without a workspace, in tokens per second. Precondition:
  //! `clock` outlives the budget.
  ChunkBudget(const Clock& clock,
              std::chrono::milliseconds chunk_life,
              TokenCount open_rate);

  //! Precondition: called before traffic starts.
  void SetSources(TokenSources sources);
  void Reserve(const WorkspaceName& workspace,
               TokenCount tokens,
               TimePoint latest,
               Callback callback) override;
  void Settle(const WorkspaceName& workspace,
              std::uint64_t reservation,
              TokenCount used) override;
  //! Applies the allocator's reply; ignores one without a pending request.
  void HandleGrant(const policy::ChunkGrant& grant);
  //! Returns chunks that are used up or idle, and refuses reservations that
  //! waited too long for a chunk.
  void Tick();

 private:
  //! A reservation that waits for a chunk.
  struct Waiter {
    TokenCount tokens = 0;
    Callback callback;
    TimePoint since;
  };
  //! A chunk request that waits for its reply.
  struct PendingRequest {
    WorkspaceName workspace;
    TimePoint at;
  };
  using Decisions = std::vector<std::pair<Callback, gateway::BudgetAnswer>>;

  bool TryReserve(const WorkspaceName& workspace,
                  TokenCount tokens,
                  gateway::BudgetAnswer& answer);
  //! Adds a chunk from the host's static quota share with the tokens that a
  //! reservation of `tokens` lacks; adds no tokens if the share has fewer.
  void FillFromSlice(const WorkspaceName& workspace, TokenCount tokens);
  //! Adds a request for a chunk for the waiting reservations of a workspace,
  //! unless one is pending.
  void RequestChunk(const WorkspaceName& workspace,
                    std::vector<policy::ChunkRequest>& requests);
  //! Reserves tokens for a request without a workspace.
  gateway::BudgetAnswer ReserveOpen(TokenCount tokens);

  const Clock& clock;
  std::chrono::milliseconds chunk_life;
  TokenSources sources;
  std::mutex mutex;
  policy::BudgetHolder holder;
  policy::BudgetAllocator own_slice;
  //! For requests without a workspace.
  policy::TokenBucket open_bucket;
  std::uint64_t next_chunk = 1;
  //! By chunk number.
  std::map<std::uint64_t, PendingRequest> pending_requests;
  std::map<WorkspaceName, std::deque<Waiter>> waiting;
};

}  // namespace tamarackwing::daemon
