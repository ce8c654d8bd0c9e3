#include "tamarackwing/base/trace_context.h"

#include <algorithm>
#include <cstddef>

#include "tamarackwing/base/random_source.h"

namespace tamarackwing {
namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
constexpr std::size_t kTraceIdStart = 3;
constexpr std::size_t kSpanIdStart = kTraceIdStart + kTraceIdDigits + 1;
constexpr std::size_t kTraceparentLength = kSpanIdStart + kSpanIdDigits + 3;

bool IsValidId(std::string_view text) {
  const bool is_hex = std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  return is_hex && text.find_first_not_of('0') != std::string_view::npos;
}

std::string RandomHexDigits(std::size_t count, RandomSource& random) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    text.push_back(kDigits[random.Below(kDigits.size())]);
  }
  return text;
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  if (header.size() != kTraceparentLength || header.substr(0, 3) != "00-") {
    return std::nullopt;
  }
  const std::string_view trace = header.substr(kTraceIdStart, kTraceIdDigits);
  const std::string_view span = header.substr(kSpanIdStart, kSpanIdDigits);
  if (header[kSpanIdStart - 1] != '-' ||
      header[kSpanIdStart + kSpanIdDigits] != '-' || !IsValidId(trace) ||
      !IsValidId(span)) {
    return std::nullopt;
  }
  return TraceContext{std::string(trace), std::string(span)};
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + context.trace_id + "-" + context.span_id + "-01";
}

TraceContext StartTrace(const std::optional<TraceContext>& parent,
                        RandomSource& random) {
  TraceContext context;
  context.trace_id =
      parent ? parent->trace_id : RandomHexDigits(kTraceIdDigits, random);
  context.span_id = RandomHexDigits(kSpanIdDigits, random);
  return context;
}

}  // namespace tamarackwing
