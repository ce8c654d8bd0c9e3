#pragma once

#include <cstdint>

namespace tamarackwing::policy {

//! Limits retries to a percentage of the requests, so that retries cannot
//! amplify a failure. Not thread-safe.
class RetryBudget {
 public:
  //! Starts with `reserve` retries, which is also the max that can accumulate.
  //! Precondition: `percent` is at most 100.
  RetryBudget(std::uint32_t percent, std::uint32_t reserve);

  //! Records the first try of a request, which earns `percent` hundredths of a
  //! retry.
  void NoteRequest();
  //! Takes one retry; returns false if none is left.
  bool TryRetry();

 private:
  std::uint32_t percent;
  //! In hundredths of a retry.
  std::uint64_t max_credit;
  std::uint64_t credit;
};

}  // namespace tamarackwing::policy
