#include "tamarackwing/base/hex.h"

#include <algorithm>
#include <string_view>

namespace tamarackwing {

std::string ToHex(std::uint64_t number) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr std::size_t kLength = 16;
  constexpr unsigned kBitsPerDigit = 4;
  std::string text(kLength, '0');
  for (std::size_t i = kLength; i > 0; --i) {
    text[i - 1] = kDigits[number % kDigits.size()];
    number >>= kBitsPerDigit;
  }
  return text;
}

std::string ToHexList(const std::vector<std::uint64_t>& numbers,
                      std::size_t max_count) {
  std::string text;
  for (std::size_t i = 0; i < std::min(numbers.size(), max_count); ++i) {
    if (i > 0) {
      text += ',';
    }
    text += ToHex(numbers[i]);
  }
  return text;
}

}  // namespace tamarackwing
