#include "tamarackwing/base/random_source.h"

namespace tamarackwing {

SeededRandom::SeededRandom(std::uint64_t seed) : engine(seed) {}

std::uint64_t SeededRandom::Below(std::uint64_t bound) {
  return std::uniform_int_distribution<std::uint64_t>(0,
                                                      bound - 1)(this->engine);
}

}  // namespace tamarackwing
