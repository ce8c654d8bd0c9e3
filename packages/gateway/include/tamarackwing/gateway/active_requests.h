#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_map>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/base/refusal.h"

namespace tamarackwing::gateway {

//! Registry of the requests in progress, so that withdrawing a key can cancel
//! those that use it.
//! Thread safety: every method is callable from any thread.
class ActiveRequests {
 public:
  //! Cancels a request for a reason; may be called from any thread.
  using Cancel = std::function<void(RefusalCode)>;

  //! Adds a request and returns its id.
  std::uint64_t Add(const KeyDigest& key, Cancel cancel);
  //! Removes a request. Its cancel function is not called afterwards, unless
  //! CancelKey is already running.
  void Remove(std::uint64_t id);
  //! Cancels every request of a key and returns their number.
  std::size_t CancelKey(const KeyDigest& key, RefusalCode reason);
  //! Returns the number of requests in progress.
  std::size_t Count() const;

 private:
  struct Entry {
    KeyDigest key;
    Cancel cancel;
  };
  mutable std::mutex mutex;
  std::uint64_t next = 1;
  std::unordered_map<std::uint64_t, Entry> entries;
};

}  // namespace tamarackwing::gateway
