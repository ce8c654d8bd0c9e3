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

//! Where a chunk came from.
enum class ChunkSource { kAllocator, kOwnSlice };

//! The chunks of one host, and what running requests hold of them.
//! Not thread-safe.
class BudgetHolder {
 public:
  //! `life` of a chunk, counted from its request.
  explicit BudgetHolder(std::chrono::milliseconds life);

  //! Reserves tokens; nothing where the chunks at hand do not suffice.
  std::optional<std::uint64_t> Reserve(const WorkspaceName& workspace,
                                       TokenCount tokens,
                                       TimePoint now);
  //! Ends a reservation. What was not used can be reserved again as long as
  //! its chunk lives.
  void Settle(const WorkspaceName& workspace,
              std::uint64_t reservation,
              TokenCount used,
              TimePoint now);
  //! Adds a chunk that was asked for at `requested`; a late one is dropped.
  void Add(const WorkspaceName& workspace,
           std::uint64_t chunk,
           TokenCount tokens,
           ChunkSource source,
           TimePoint requested,
           TimePoint now);
  //! Tokens that can be reserved now.
  TokenCount Available(const WorkspaceName& workspace, TimePoint now);
  //! Chunks that are used up, or idle and better given back.
  std::vector<std::pair<ChunkSource, ChunkSettled>> TakeSettled(TimePoint now);

 private:
  struct Chunk {
    std::uint64_t id = 0;
    ChunkSource source = ChunkSource::kAllocator;
    TokenCount available = 0;
    //! Held by requests that have not ended.
    TokenCount reserved = 0;
    TimePoint expires;
    TimePoint touched;
  };
  //! The part of a reservation that stands on one chunk.
  struct Part {
    std::uint64_t chunk = 0;
    TokenCount tokens = 0;
  };
  struct Account {
    std::vector<Chunk> chunks;
    std::unordered_map<std::uint64_t, std::vector<Part>> reservations;
  };

  static void Expire(Account& account, TimePoint now);

  std::chrono::milliseconds life;
  std::uint64_t next_reservation = 1;
  std::unordered_map<WorkspaceName, Account> accounts;
};

}  // namespace tamarackwing::policy
