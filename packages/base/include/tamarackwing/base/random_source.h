#pragma once

#include <cstdint>
#include <random>

namespace tamarackwing {

//! Interface: where decisions take their random numbers from.
class RandomSource {
 public:
  virtual ~RandomSource() = default;
  //! A uniform number below `bound`. Precondition: `bound` is positive.
  //! Thread safety: one thread at a time.
  virtual std::uint64_t Below(std::uint64_t bound) = 0;
};

//! A Mersenne Twister; the same seed gives the same numbers.
class SeededRandom final : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed);
  std::uint64_t Below(std::uint64_t bound) override;

 private:
  std::mt19937_64 engine;
};

}  // namespace tamarackwing
