#include "backend_request.h"

#include <nlohmann/json.hpp>

namespace tamarackwing::gateway {

http::Request MakeBackendRequest(const callers::CallerRequest& request,
                                 const BackendRequestContext& context) {
  http::Request result;
  result.head.method = request.head.method;
  result.head.target = request.head.path;
  http::Headers& headers = result.head.headers;
  headers.Add("Host", context.authority);
  headers.Add("Content-Type", request.content_type);
  headers.Add("Accept", request.accept);
  headers.Add("traceparent", FormatTraceparent(context.trace));
  headers.Add("Request-Timeout", std::to_string(context.time_left.count()));
  headers.Add(callers::kHopHeader, context.host.Text());
  if (!context.workspace.IsEmpty()) {
    headers.Add("Tamarackwing-Workspace", context.workspace.Text());
  }
  if (request.head.idempotency_key) {
    headers.Add("Idempotency-Key", *request.head.idempotency_key);
  }
  result.body = request.body;
  return result;
}

bool CarriesKey(const callers::CallerRequest& request) {
  if (!request.head.key) {
    return false;
  }
  const std::string& key = *request.head.key;
  const auto holds = [&](const std::string& text) {
    return text.find(key) != std::string::npos;
  };
  return holds(request.head.path) || holds(request.body) ||
         holds(request.content_type) || holds(request.accept) ||
         (request.head.idempotency_key && holds(*request.head.idempotency_key));
}

TokenCount UsedTokens(const std::string& body, TokenCount fallback) {
  const auto document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return fallback;
  }
  const auto usage = document.find("usage");
  if (usage == document.end() || !usage->is_object()) {
    return fallback;
  }
  const auto total = usage->find("total_tokens");
  if (total == usage->end() || !total->is_number_unsigned()) {
    return fallback;
  }
  return total->get<TokenCount>();
}

}  // namespace tamarackwing::gateway
