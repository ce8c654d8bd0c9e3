#pragma once

#include <atomic>
#include <cstddef>

namespace tamarackwing::gateway {

//! Counter of requests in progress. Thread safety: callable from any thread.
class RequestCount {
 public:
  //! Counts one request during the lifetime of the object.
  class Guard {
   public:
    explicit Guard(RequestCount& count) : count(count) {
      this->count.in_flight.fetch_add(1);
    }
    ~Guard() { this->count.in_flight.fetch_sub(1); }
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;

   private:
    RequestCount& count;
  };

  std::size_t Now() const { return this->in_flight.load(); }

 private:
  std::atomic<std::size_t> in_flight{0};
};

}  // namespace tamarackwing::gateway
