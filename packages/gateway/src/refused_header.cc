#include "refused_header.h"

#include <charconv>
#include <string>

namespace tamarackwing::gateway {
namespace {

constexpr const char* kRefusedHeader = "Tamarackwing-Refused";
constexpr const char* kRetryHeader = "Tamarackwing-Retry-After-Ms";
constexpr const char* kSentHeader = "Tamarackwing-Sent";
constexpr const char* kCallHeader = "Tamarackwing-Refused-Call";
constexpr std::string_view kNothingSent = "0";
constexpr std::string_view kNotRun = "not-run";
constexpr std::string_view kUnknown = "unknown";

}  // namespace

void AddRefusedHeader(const Refusal& refusal,
                      std::size_t sends,
                      std::string_view id,
                      http::Headers& headers) {
  headers.Add(kRefusedHeader,
              std::string(refusal.ran == Ran::kNo ? kNotRun : kUnknown));
  headers.Add(kRetryHeader, std::to_string(refusal.retry_after.count()));
  headers.Add(kSentHeader, std::to_string(sends));
  headers.Add(kCallHeader, std::string(id));
}

std::optional<ForwardRefusal> ReadRefusedHeader(const http::Headers& headers,
                                                std::string_view id) {
  const auto mark = headers.Find(kRefusedHeader);
  if (!mark) {
    return std::nullopt;
  }
  ForwardRefusal refusal;
  refusal.ran = *mark == kNotRun ? Ran::kNo : Ran::kUnknown;
  // Hosts of earlier versions do not add the next two headers.
  refusal.is_for_call = headers.Find(kCallHeader).value_or(id) == id;
  refusal.was_sent = headers.Find(kSentHeader) != kNothingSent;
  const std::string_view wait = headers.Find(kRetryHeader).value_or("");
  std::int64_t ms = 0;
  const auto read = std::from_chars(wait.data(), wait.data() + wait.size(), ms);
  if (read.ec == std::errc() && ms > 0) {
    refusal.retry_after = std::chrono::milliseconds(ms);
  }
  return refusal;
}

}  // namespace tamarackwing::gateway
