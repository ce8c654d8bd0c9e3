#include "tamarackwing/callers/caller_head.h"

#include <charconv>
#include <string_view>
#include <utility>

#include "tamarackwing/http/message.h"

namespace tamarackwing::callers {
namespace {

constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
constexpr std::chrono::milliseconds kMaxDeadline{3'600'000};

using HeadResult = Expected<CallerHead, RefusalCode>;

bool IsVisibleAscii(std::string_view text) {
  for (const char c : text) {
    if (c <= ' ' || c > '~') {
      return false;
    }
  }
  return true;
}

bool HasUnsafePath(std::string_view path) {
  return path.find("..") != std::string_view::npos ||
         path.find("//") != std::string_view::npos || !IsVisibleAscii(path);
}

//! Returns the value of a header that may occur at most once, or nothing if it
//! is absent. Fails with `code` if it is repeated, empty or longer than
//! `max_length` bytes.
Expected<std::optional<std::string>, RefusalCode> ReadSingle(
    const http::RequestHead& head,
    std::string_view name,
    std::size_t max_length,
    RefusalCode code) {
  if (head.headers.Count(name) > 1) {
    return unexpected(code);
  }
  const auto value = head.headers.Find(name);
  if (!value) {
    return std::optional<std::string>();
  }
  if (value->empty() || value->size() > max_length) {
    return unexpected(code);
  }
  return std::optional<std::string>(std::string(*value));
}

Expected<std::optional<std::string>, RefusalCode> ReadKey(
    const http::RequestHead& head) {
  auto header =
      ReadSingle(head, "Authorization", kMaxKeyBytes + kBearerPrefix.size(),
                 RefusalCode::kKeyInvalid);
  if (!header || !*header) {
    return header;
  }
  const std::string& value = **header;
  if (!value.starts_with(kBearerPrefix) ||
      value.size() == kBearerPrefix.size()) {
    return unexpected(RefusalCode::kKeyInvalid);
  }
  std::string key = value.substr(kBearerPrefix.size());
  if (!IsVisibleAscii(key)) {
    return unexpected(RefusalCode::kKeyInvalid);
  }
  return std::optional<std::string>(std::move(key));
}

Expected<std::optional<std::chrono::milliseconds>, RefusalCode> ReadDeadline(
    const http::RequestHead& head) {
  constexpr std::size_t kMaxDigits = 9;
  auto header = ReadSingle(head, "Request-Timeout", kMaxDigits,
                           RefusalCode::kDeadlineInvalid);
  if (!header) {
    return unexpected(header.error());
  }
  if (!*header) {
    return std::optional<std::chrono::milliseconds>();
  }
  const std::string& text = **header;
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool is_number =
      error == std::errc() && end == text.data() + text.size();
  const std::chrono::milliseconds deadline(value);
  if (!is_number || value <= 0 || deadline > kMaxDeadline) {
    return unexpected(RefusalCode::kDeadlineInvalid);
  }
  return std::optional<std::chrono::milliseconds>(deadline);
}

Expected<void, RefusalCode> ReadServiceTarget(std::string_view path,
                                              CallerHead& result) {
  const std::string_view rest = path.substr(kServicePrefix.size());
  const std::size_t end = rest.find_first_of("/?");
  const std::string_view route = rest.substr(0, end);
  if (route.empty()) {
    return unexpected(RefusalCode::kUnknownRoute);
  }
  result.target = CallerTarget::kService;
  result.route = RouteName(std::string(route));
  result.path =
      end == std::string_view::npos ? "/" : std::string(rest.substr(end));
  if (result.path.front() == '?') {
    result.path.insert(result.path.begin(), '/');
  }
  return {};
}

Expected<void, RefusalCode> ReadTarget(const http::RequestHead& head,
                                       CallerHead& result) {
  const std::string_view path = head.target;
  if (path.empty() || path.front() != '/' || HasUnsafePath(path)) {
    return unexpected(RefusalCode::kMalformedRequest);
  }
  if (path.starts_with(kServicePrefix)) {
    return ReadServiceTarget(path, result);
  }
  result.path = std::string(path);
  if (head.method == "GET" && path == "/v1/hosts") {
    result.target = CallerTarget::kDirectory;
    return {};
  }
  if (head.method == "GET" && path == "/metrics") {
    result.target = CallerTarget::kMetrics;
    return {};
  }
  const bool is_model = path == "/v1/chat/completions" ||
                        path == "/v1/completions" || path == "/v1/embeddings";
  if (!is_model) {
    return unexpected(RefusalCode::kUnknownRoute);
  }
  if (head.method != "POST") {
    return unexpected(RefusalCode::kMalformedRequest);
  }
  result.target = CallerTarget::kModel;
  const auto route = head.headers.Find("Tamarackwing-Route");
  if (route) {
    result.route = RouteName(std::string(*route));
  }
  return {};
}

}  // namespace

HeadResult ParseCallerHead(const http::RequestHead& head) {
  if (head.headers.Count(kHopHeader) > 0) {
    return unexpected(RefusalCode::kLoop);
  }
  CallerHead result;
  result.method = head.method;
  auto target = ReadTarget(head, result);
  if (!target) {
    return unexpected(target.error());
  }
  auto key = ReadKey(head);
  if (!key) {
    return unexpected(key.error());
  }
  result.key = std::move(*key);
  auto idempotency_key =
      ReadSingle(head, "Idempotency-Key", kMaxIdempotencyKeyBytes,
                 RefusalCode::kIdempotencyKeyInvalid);
  if (!idempotency_key) {
    return unexpected(idempotency_key.error());
  }
  result.idempotency_key = std::move(*idempotency_key);
  auto deadline = ReadDeadline(head);
  if (!deadline) {
    return unexpected(deadline.error());
  }
  result.deadline = *deadline;
  const auto trace = head.headers.Find("traceparent");
  if (trace) {
    result.trace = ParseTraceparent(*trace);
  }
  return result;
}

}  // namespace tamarackwing::callers
