#pragma once

#include <chrono>
#include <cstdint>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! A holder's request to its region's allocator for a chunk of tokens.
struct ChunkRequest {
  //! Identifies the chunk; unique within the holder's process.
  std::uint64_t chunk = 0;
  WorkspaceName workspace;
  //! Min tokens: what a waiting request needs.
  TokenCount needed = 0;
  //! Preferred tokens: enough that the holder need not request another chunk
  //! soon.
  TokenCount wanted = 0;
};

//! The allocator's reply; zero tokens mean a refusal.
struct ChunkGrant {
  std::uint64_t chunk = 0;
  WorkspaceName workspace;
  TokenCount tokens = 0;
  //! Estimated time until the needed tokens are available, after a refusal.
  std::chrono::milliseconds retry_after{0};
};

//! A holder's notice that it has used up a chunk or returns the rest of it.
struct ChunkSettled {
  std::uint64_t chunk = 0;
  WorkspaceName workspace;
  TokenCount unused = 0;
};

}  // namespace tamarackwing::policy
