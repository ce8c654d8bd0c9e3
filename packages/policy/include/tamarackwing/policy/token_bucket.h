#pragma once

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! A token bucket, initially empty, that fills at a rate up to a burst.
//! Not thread-safe.
class TokenBucket {
 public:
  //! Preconditions: `rate` (tokens per second) and `burst` are not negative.
  TokenBucket(TokenCount rate, TokenCount burst, TimePoint now);

  //! Changes rate and burst; tokens above the new burst are discarded.
  void Configure(TokenCount rate, TokenCount burst, TimePoint now);
  //! Takes up to `wanted` tokens and returns the number taken.
  //! Precondition: `wanted` is not negative.
  TokenCount Take(TokenCount wanted, TimePoint now);
  //! Puts tokens back; those above the burst are discarded.
  void Return(TokenCount tokens);
  //! Returns the available tokens.
  TokenCount Level(TimePoint now);
  //! Returns the time until `wanted` tokens are available; zero if they are, or
  //! if the rate is zero.
  std::chrono::milliseconds TimeUntil(TokenCount wanted, TimePoint now);

 private:
  void Refill(TimePoint now);

  TokenCount rate;
  TokenCount burst;
  double level = 0;
  TimePoint refilled;
};

}  // namespace tamarackwing::policy
