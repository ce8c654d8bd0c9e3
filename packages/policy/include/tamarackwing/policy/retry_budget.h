#pragma once

#include <cstdint>

namespace tamarackwing::policy {

//! Retries as a part of the requests, so that they cannot multiply a failure.
//! Not thread-safe.
class RetryBudget {
 public:
  //! Preconditions: `percent` is at most 100; `reserve` retries are kept.
  RetryBudget(std::uint32_t percent, std::uint32_t reserve);

  //! Notes a first try.
  void NoteRequest();
  //! Takes one retry; false where none is left.
  bool TryRetry();

 private:
  std::uint32_t percent;
  std::uint64_t max_hundredths;
  std::uint64_t hundredths;
};

}  // namespace tamarackwing::policy
