#pragma once

#include <string>
#include <string_view>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing {

//! SHA-256 of `bytes` in lower-case hexadecimal. Thread safety: reentrant.
std::string Sha256Hex(std::string_view bytes);

//! The digest under which a caller's key is known. Thread safety: reentrant.
KeyDigest DigestKey(std::string_view key);

//! The digest of a workspace's idempotency key. Thread safety: reentrant.
OperationId DigestOperation(const WorkspaceName& workspace,
                            const RouteName& route,
                            std::string_view idempotency_key);

//! Compares in a time that does not depend on the contents.
//! Thread safety: reentrant.
bool EqualInConstantTime(std::string_view left, std::string_view right);

}  // namespace tamarackwing
