#pragma once

#include <cstdint>
#include <random>

namespace tamarackwing {

//! Interface: a source of random numbers.
class RandomSource {
 public:
  virtual ~RandomSource() = default;
  //! Returns a uniformly distributed number in [0, `bound`).
  //! Precondition: `bound` is positive.
  //! Thread safety: one thread at a time.
  virtual std::uint64_t Below(std::uint64_t bound) = 0;
};

//! A Mersenne Twister; equal seeds give equal sequences.
class SeededRandom final : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed);
  std::uint64_t Below(std::uint64_t bound) override;

 private:
  std::mt19937_64 engine;
};

}  // namespace tamarackwing
