#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/budget_messages.h"

namespace tamarackwing::policy {

//! Where a chunk came from: the region's allocator, or the host's static quota
//! share.
enum class ChunkSource { kAllocator, kOwnSlice };

//! The chunks that one host holds, and the reservations of running requests.
//! Not thread-safe.
class BudgetHolder {
 public:
  //! Chunks expire `life` after they were requested.
  explicit BudgetHolder(std::chrono::milliseconds life);

  //! Reserves tokens and returns the reservation's id; nullopt if fewer tokens
  //! are available.
  std::optional<std::uint64_t> Reserve(const WorkspaceName& workspace,
                                       TokenCount tokens,
                                       TimePoint now);
  //! Ends a reservation of which `used` tokens were used. The others become
  //! available again until their chunk expires.
  void Settle(const WorkspaceName& workspace,
              std::uint64_t reservation,
              TokenCount used,
              TimePoint now);
  //! Adds a chunk that was requested at `requested`, unless it has expired or
  //! was added before.
  void Add(const WorkspaceName& workspace,
           std::uint64_t chunk,
           TokenCount tokens,
           ChunkSource source,
           TimePoint requested,
           TimePoint now);
  //! Returns the tokens that can be reserved now.
  TokenCount Available(const WorkspaceName& workspace, TimePoint now);
  //! Removes and returns the chunks that are used up or idle, which the caller
  //! returns to their source.
  std::vector<std::pair<ChunkSource, ChunkSettled>> TakeSettled(TimePoint now);

 private:
  struct Chunk {
    std::uint64_t id = 0;
    ChunkSource source = ChunkSource::kAllocator;
    TokenCount available = 0;
    //! Reserved by running requests.
    TokenCount reserved = 0;
    TimePoint expires;
    TimePoint last_used;
  };
  //! The tokens that a reservation takes from one chunk.
  struct ChunkTokens {
    std::uint64_t chunk = 0;
    TokenCount tokens = 0;
  };
  struct Account {
    std::vector<Chunk> chunks;
    std::unordered_map<std::uint64_t, std::vector<ChunkTokens>> reservations;
  };

  static void Expire(Account& account, TimePoint now);

  std::chrono::milliseconds life;
  std::uint64_t next_reservation = 1;
  std::unordered_map<WorkspaceName, Account> accounts;
};

}  // namespace tamarackwing::policy
