#pragma once

#include <tl/expected.hpp>

namespace tamarackwing {

//! A value or a typed error.
template <typename T, typename E>
using Expected = tl::expected<T, E>;

using tl::unexpected;

}  // namespace tamarackwing
