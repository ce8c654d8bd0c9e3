#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing {

//! Returns the SHA-256 digest of `bytes` in lower-case hexadecimal.
//! Thread safety: reentrant.
std::string Sha256Hex(std::string_view bytes);

//! Returns the first 64 bits of the SHA-256 digest of `bytes`.
//! Thread safety: reentrant.
std::uint64_t Sha256Prefix(std::string_view bytes);

//! Returns the digest that identifies a caller's key. Thread safety: reentrant.
KeyDigest DigestKey(std::string_view key);

//! Returns the digest that identifies an operation. It covers the workspace,
//! the route and the idempotency key. Thread safety: reentrant.
OperationId DigestOperation(const WorkspaceName& workspace,
                            const RouteName& route,
                            std::string_view idempotency_key);

//! Compares two strings in a time that depends only on their lengths.
//! Thread safety: reentrant.
bool EqualInConstantTime(std::string_view left, std::string_view right);

}  // namespace tamarackwing
