#pragma once

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! Tokens that come in at a rate and are kept up to a burst.
//! Not thread-safe.
class TokenBucket {
 public:
  //! Preconditions: `rate` (tokens a second) and `burst` are not negative.
  TokenBucket(TokenCount rate, TokenCount burst, TimePoint now);

  //! Changes rate and burst; tokens over the new burst are dropped.
  void Configure(TokenCount rate, TokenCount burst, TimePoint now);
  //! Takes up to `wanted` tokens and returns how many.
  //! Precondition: `wanted` is not negative.
  TokenCount Take(TokenCount wanted, TimePoint now);
  //! Puts tokens back, never over the burst less `outstanding`.
  void Return(TokenCount tokens);
  //! The tokens at hand.
  TokenCount Level(TimePoint now);
  //! The time until `wanted` tokens are at hand; zero where they are.
  std::chrono::milliseconds TimeUntil(TokenCount wanted, TimePoint now);

 private:
  void Refill(TimePoint now);

  TokenCount rate;
  TokenCount burst;
  double level = 0;
  TimePoint refilled;
};

}  // namespace tamarackwing::policy
