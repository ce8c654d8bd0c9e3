#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarackwing {

//! Returns a number as 16 lower-case hexadecimal digits. Thread safety:
//! reentrant.
std::string ToHex(std::uint64_t number);

//! Returns the first `max_count` numbers as ToHex does, separated by commas.
//! Thread safety: reentrant.
std::string ToHexList(const std::vector<std::uint64_t>& numbers,
                      std::size_t max_count);

}  // namespace tamarackwing
