#pragma once

#include "tamarackwing/base/refusal.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::callers {

//! Returns a refusal as an `application/problem+json` response.
//! Thread safety: reentrant.
http::Response MakeRefusalResponse(const Refusal& refusal);

//! Returns a refusal as the last server-sent event of a stream that has
//! started. Thread safety: reentrant.
std::string MakeRefusalEvent(const Refusal& refusal);

}  // namespace tamarackwing::callers
