#pragma once

#include "tamarackwing/base/refusal.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::callers {

//! A refusal as `application/problem+json`. Thread safety: reentrant.
http::Response MakeRefusalResponse(const Refusal& refusal);

//! A refusal as the last event of a stream that has started.
//! Thread safety: reentrant.
std::string MakeRefusalEvent(const Refusal& refusal);

}  // namespace tamarackwing::callers
