#include "tamarackwing/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace tamarackwing {
namespace {

using Sha256Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Sha256Digest Sha256(std::string_view bytes) {
  Sha256Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  return digest;
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  const Sha256Digest digest = Sha256(bytes);
  std::string text;
  text.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 0x0f]);
  }
  return text;
}

std::uint64_t Sha256Prefix(std::string_view bytes) {
  constexpr unsigned kBitsPerByte = 8;
  const Sha256Digest digest = Sha256(bytes);
  std::uint64_t prefix = 0;
  for (std::size_t i = 0; i < sizeof(prefix); ++i) {
    prefix = (prefix << kBitsPerByte) | digest[i];
  }
  return prefix;
}

KeyDigest DigestKey(std::string_view key) {
  return KeyDigest(Sha256Hex(key));
}

OperationId DigestOperation(const WorkspaceName& workspace,
                            const RouteName& route,
                            std::string_view idempotency_key) {
  std::string bytes = workspace.Text();
  bytes.push_back('\0');
  bytes += route.Text();
  bytes.push_back('\0');
  bytes += idempotency_key;
  return OperationId(Sha256Hex(bytes));
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace tamarackwing
