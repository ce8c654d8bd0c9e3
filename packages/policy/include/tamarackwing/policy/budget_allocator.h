#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/budget_messages.h"
#include "tamarackwing/policy/token_bucket.h"

namespace tamarackwing::policy {

//! Gives out a share of the workspaces' budgets in chunks that live for a
//! bounded time. What is at hand and what is given out never exceed the
//! share's burst, so no fault of a holder lets more through. Not thread-safe.
class BudgetAllocator {
 public:
  //! Who holds a chunk, and which of its chunks.
  struct ChunkId {
    HostName holder;
    std::uint64_t incarnation = 0;
    std::uint64_t chunk = 0;

    friend auto operator<=>(const ChunkId&, const ChunkId&) = default;
  };

  //! `life` is counted from the answer and must exceed what a holder counts
  //! from its request, by the clocks' drift. Buckets fill from `since` on,
  //! whenever their workspace is first named.
  BudgetAllocator(std::chrono::milliseconds life, TimePoint since);

  //! Sets a workspace's share.
  void SetShare(const WorkspaceName& workspace,
                TokenCount rate,
                TokenCount burst,
                TimePoint now);
  //! Answers a request; the same chunk again gets the same answer.
  ChunkGrant Grant(const ChunkId& id,
                   const ChunkRequest& request,
                   TimePoint now);
  //! Takes a chunk back; what is unused may be given out again.
  void Settle(const ChunkId& id, const ChunkSettled& settled, TimePoint now);
  //! Forgets all shares; buckets fill from `since` on.
  void Clear(TimePoint since);
  //! Tokens given out and neither settled nor expired.
  TokenCount Outstanding(const WorkspaceName& workspace, TimePoint now);
  //! Tokens at hand.
  TokenCount Level(const WorkspaceName& workspace, TimePoint now);
  //! Workspaces with a bucket.
  std::size_t Count() const { return this->accounts.size(); }

 private:
  struct Chunk {
    TokenCount tokens = 0;
    TimePoint expires;
  };
  struct Account {
    Account(TokenCount rate, TokenCount burst, TimePoint now)
        : rate(rate), burst(burst), bucket(rate, burst, now) {}
    TokenCount rate;
    TokenCount burst;
    TokenBucket bucket;
    TokenCount outstanding = 0;
    std::map<ChunkId, Chunk> chunks;
  };

  void Expire(Account& account, TimePoint now);
  static void Rebound(Account& account, TimePoint now);

  std::chrono::milliseconds life;
  TimePoint since;
  std::unordered_map<WorkspaceName, Account> accounts;
};

}  // namespace tamarackwing::policy
