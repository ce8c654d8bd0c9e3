#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace tamarackwing::state {

//! Returns `bytes` compressed, if they are many and become fewer by it;
//! otherwise returns them unchanged. An encoded change or state is never taken
//! for compressed bytes. Thread safety: reentrant.
std::string Pack(std::string bytes);

//! Reverses Pack. Returns nullopt if the bytes are damaged or would take more
//! than 64 MiB. Thread safety: reentrant.
std::optional<std::string> Unpack(std::string_view bytes);

}  // namespace tamarackwing::state
