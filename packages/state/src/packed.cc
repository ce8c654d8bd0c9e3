#include "tamarackwing/state/packed.h"

#include <zstd.h>

#include <cstddef>

namespace tamarackwing::state {
namespace {

//! Smaller changes are sent in one packet or two anyway.
constexpr std::size_t kMinBytes = 4'096;
//! As large as the largest message between hosts may be, and a bound for what a
//! damaged length can claim.
constexpr unsigned long long kMaxBytes = 64ULL * 1024 * 1024;
//! The first bytes of a Zstandard frame. CBOR arrays and maps begin with other
//! bytes.
constexpr std::string_view kMagic("\x28\xB5\x2F\xFD", 4);
//! On sets of a thousand routes, higher levels save little more and take
//! several times as long.
constexpr int kLevel = 1;

}  // namespace

std::string Pack(std::string bytes) {
  if (bytes.size() < kMinBytes) {
    return bytes;
  }
  std::string packed(ZSTD_compressBound(bytes.size()), '\0');
  const std::size_t size = ZSTD_compress(packed.data(), packed.size(),
                                         bytes.data(), bytes.size(), kLevel);
  if (ZSTD_isError(size) != 0 || size >= bytes.size()) {
    return bytes;
  }
  packed.resize(size);
  packed.shrink_to_fit();
  return packed;
}

std::optional<std::string> Unpack(std::string_view bytes) {
  if (!bytes.starts_with(kMagic)) {
    return std::string(bytes);
  }
  const unsigned long long size =
      ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  // The codes for an unknown size and for an error are the largest numbers.
  if (size > kMaxBytes) {
    return std::nullopt;
  }
  std::string unpacked(static_cast<std::size_t>(size), '\0');
  const std::size_t written = ZSTD_decompress(unpacked.data(), unpacked.size(),
                                              bytes.data(), bytes.size());
  if (ZSTD_isError(written) != 0 || written != unpacked.size()) {
    return std::nullopt;
  }
  return unpacked;
}

}  // namespace tamarackwing::state
