#include "tamarackwing/policy/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace tamarackwing::policy {

TokenBucket::TokenBucket(TokenCount rate, TokenCount burst, TimePoint now)
    : rate(rate), burst(burst), refilled(now) {}

void TokenBucket::Configure(TokenCount new_rate,
                            TokenCount new_burst,
                            TimePoint now) {
  this->Refill(now);
  this->rate = new_rate;
  this->burst = new_burst;
  this->level = std::min(this->level, static_cast<double>(new_burst));
}

TokenCount TokenBucket::Take(TokenCount wanted, TimePoint now) {
  this->Refill(now);
  const auto available = static_cast<TokenCount>(std::floor(this->level));
  const TokenCount taken = std::min(wanted, available);
  this->level -= static_cast<double>(taken);
  return taken;
}

void TokenBucket::Return(TokenCount tokens) {
  this->level = std::min(this->level + static_cast<double>(tokens),
                         static_cast<double>(this->burst));
}

TokenCount TokenBucket::Level(TimePoint now) {
  this->Refill(now);
  return static_cast<TokenCount>(std::floor(this->level));
}

std::chrono::milliseconds TokenBucket::TimeUntil(TokenCount wanted,
                                                 TimePoint now) {
  this->Refill(now);
  const double missing = static_cast<double>(wanted) - this->level;
  if (missing <= 0 || this->rate == 0) {
    return std::chrono::milliseconds(0);
  }
  const double seconds = missing / static_cast<double>(this->rate);
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::ceil(seconds * 1000)));
}

void TokenBucket::Refill(TimePoint now) {
  if (now <= this->refilled) {
    return;
  }
  const double seconds =
      std::chrono::duration<double>(now - this->refilled).count();
  this->level =
      std::min(this->level + seconds * static_cast<double>(this->rate),
               static_cast<double>(this->burst));
  this->refilled = now;
}

}  // namespace tamarackwing::policy
