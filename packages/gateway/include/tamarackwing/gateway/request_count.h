#pragma once

#include <atomic>
#include <cstddef>

namespace tamarackwing::gateway {

//! How many requests are under way. Thread safety: callable from any thread.
class RequestCount {
 public:
  //! Counts one request for as long as it lives.
  class Presence {
   public:
    explicit Presence(RequestCount& count) : count(count) {
      this->count.under_way.fetch_add(1);
    }
    ~Presence() { this->count.under_way.fetch_sub(1); }
    Presence(const Presence&) = delete;
    Presence& operator=(const Presence&) = delete;

   private:
    RequestCount& count;
  };

  std::size_t Now() const { return this->under_way.load(); }

 private:
  std::atomic<std::size_t> under_way{0};
};

}  // namespace tamarackwing::gateway
