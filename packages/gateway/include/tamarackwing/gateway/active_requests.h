#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_map>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/base/refusal.h"

namespace tamarackwing::gateway {

//! The requests that are being served, so that a withdrawn key can end them.
//! Thread safety: every method is callable from any thread.
class ActiveRequests {
 public:
  //! Ends a request with a reason; may be called from any thread.
  using Cancel = std::function<void(RefusalCode)>;

  //! Adds a request and returns its number.
  std::uint64_t Add(const KeyDigest& key, Cancel cancel);
  //! Removes a request; its cancel function is not called afterwards, unless a
  //! call is under way.
  void Remove(std::uint64_t id);
  //! Ends every request of a key; returns how many.
  std::size_t CancelKey(const KeyDigest& key, RefusalCode reason);
  //! Requests that are being served.
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
