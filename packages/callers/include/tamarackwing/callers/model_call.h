#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/base/refusal.h"

namespace tamarackwing::callers {

//! What the body of a model request says.
struct ModelCall {
  RouteName route;
  bool stream = false;
  //! An estimate by length.
  TokenCount prompt_tokens = 0;
  //! The most that the answer may have.
  TokenCount output_tokens = 0;
  //! Digest of the first bytes of the prompt, for the cache hint.
  std::uint64_t prefix = 0;
};

//! Reads the body of a model request. Errors: kMalformedRequest.
//! Thread safety: reentrant.
Expected<ModelCall, RefusalCode> ParseModelCall(std::string_view body);

//! The digest of a prompt's prefix as cache events carry it.
//! Thread safety: reentrant.
std::uint64_t DigestPrefix(std::string_view prompt);

}  // namespace tamarackwing::callers
