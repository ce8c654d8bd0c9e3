#pragma once

#include <tl/expected.hpp>

namespace tamarackwing {

//! A value, or the typed failure that took its place.
template <typename T, typename E>
using Expected = tl::expected<T, E>;

using tl::unexpected;

}  // namespace tamarackwing
