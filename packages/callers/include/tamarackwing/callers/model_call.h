#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/base/refusal.h"

namespace tamarackwing::callers {

//! Fields of a model request's body that admission and routing need.
struct ModelCall {
  RouteName route;
  bool stream = false;
  //! Estimated from the length of the prompt.
  TokenCount prompt_tokens = 0;
  //! Maximum number of tokens in the response.
  TokenCount output_tokens = 0;
  //! Digest of the first bytes of the prompt, which is matched against the
  //! backend servers' prefix caches.
  std::uint64_t prefix = 0;
};

//! Parses the body of a model request. Errors: kMalformedRequest.
//! Thread safety: reentrant.
Expected<ModelCall, RefusalCode> ParseModelCall(std::string_view body);

//! Returns the digest of a prompt's prefix. Cache events identify prefixes by
//! the same digest.
//! Thread safety: reentrant.
std::uint64_t DigestPrefix(std::string_view prompt);

}  // namespace tamarackwing::callers
