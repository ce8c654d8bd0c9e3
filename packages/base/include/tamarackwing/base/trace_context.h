#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace tamarackwing {

class RandomSource;

//! The trace and span identifiers of a W3C `traceparent` header.
struct TraceContext {
  //! 32 lower-case hexadecimal digits.
  std::string trace_id;
  //! 16 lower-case hexadecimal digits.
  std::string span_id;
};

//! Parses a `traceparent` header of version 00; returns nothing if it is
//! malformed.
//! Thread safety: reentrant.
std::optional<TraceContext> ParseTraceparent(std::string_view header);

//! Formats a `traceparent` header with the sampled flag set.
//! Thread safety: reentrant.
std::string FormatTraceparent(const TraceContext& context);

//! Returns the context of a new span in the trace of `parent`, or in a new
//! trace if there is no parent. Thread safety: as for `random`.
TraceContext StartTrace(const std::optional<TraceContext>& parent,
                        RandomSource& random);

}  // namespace tamarackwing
