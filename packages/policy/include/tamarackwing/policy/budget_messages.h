#pragma once

#include <chrono>
#include <cstdint>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! A holder asks its region's allocator for tokens.
struct ChunkRequest {
  //! Names the chunk; unique for the holder's process.
  std::uint64_t chunk = 0;
  WorkspaceName workspace;
  //! What a waiting request needs at the least.
  TokenCount needed = 0;
  //! What would save another request soon.
  TokenCount wanted = 0;
};

//! The allocator's answer; no tokens is a refusal.
struct ChunkGrant {
  std::uint64_t chunk = 0;
  WorkspaceName workspace;
  TokenCount tokens = 0;
  //! When what is needed may be at hand.
  std::chrono::milliseconds retry_after{0};
};

//! A holder has used up a chunk, or gives the rest of it back.
struct ChunkSettled {
  std::uint64_t chunk = 0;
  WorkspaceName workspace;
  TokenCount unused = 0;
};

}  // namespace tamarackwing::policy
