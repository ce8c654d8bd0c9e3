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

//! Grants the region's share of each workspace's budget to holders, in chunks
//! that expire after a bounded time. Available and outstanding tokens together
//! never exceed the share's burst, so a faulty holder cannot cause more to be
//! admitted. Not thread-safe.
class BudgetAllocator {
 public:
  //! Identifies a chunk by its holder, the holder's incarnation and the number
  //! that the holder gave it.
  struct ChunkId {
    HostName holder;
    std::uint64_t incarnation = 0;
    std::uint64_t chunk = 0;

    friend auto operator<=>(const ChunkId&, const ChunkId&) = default;
  };

  //! Chunks expire `life` after they were granted. This life must be longer
  //! than that of BudgetHolder, which starts at the request, by at least the
  //! max clock drift. Buckets fill from `since` on, even if their workspace's
  //! share is set later.
  BudgetAllocator(std::chrono::milliseconds life, TimePoint since);

  //! Sets a workspace's share; `rate` in tokens per second.
  void SetShare(const WorkspaceName& workspace,
                TokenCount rate,
                TokenCount burst,
                TimePoint now);
  //! Grants or refuses a chunk; a repeated request for a granted chunk gets the
  //! same tokens.
  ChunkGrant Grant(const ChunkId& id,
                   const ChunkRequest& request,
                   TimePoint now);
  //! Ends a chunk; its unused tokens become available again.
  void Settle(const ChunkId& id, const ChunkSettled& settled, TimePoint now);
  //! Discards all shares and chunks; new buckets fill from `since` on.
  void Clear(TimePoint since);
  //! Returns the tokens of chunks that are neither settled nor expired.
  TokenCount Outstanding(const WorkspaceName& workspace, TimePoint now);
  //! Returns the available tokens.
  TokenCount Level(const WorkspaceName& workspace, TimePoint now);
  //! Returns the number of workspaces with a share.
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
  //! Sets the bucket's capacity to the burst less the outstanding tokens.
  static void ResizeBucket(Account& account, TimePoint now);

  std::chrono::milliseconds life;
  TimePoint since;
  std::unordered_map<WorkspaceName, Account> accounts;
};

}  // namespace tamarackwing::policy
