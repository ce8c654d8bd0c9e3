#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace tamarackwing {

class RandomSource;

//! The place of a span in a trace, as W3C `traceparent` carries it.
struct TraceContext {
  //! 32 hexadecimal digits.
  std::string trace_id;
  //! 16 hexadecimal digits.
  std::string span_id;
};

//! Reads a `traceparent` header; nothing where it is not well formed.
//! Thread safety: reentrant.
std::optional<TraceContext> ParseTraceparent(std::string_view header);

//! Writes a `traceparent` header. Thread safety: reentrant.
std::string FormatTraceparent(const TraceContext& context);

//! Starts a span below `parent`, or a new trace where there is none.
//! Thread safety: as for `random`.
TraceContext StartTrace(const std::optional<TraceContext>& parent,
                        RandomSource& random);

}  // namespace tamarackwing
