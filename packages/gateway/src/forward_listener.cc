#include "tamarackwing/gateway/forward_listener.h"

#include <utility>

#include "tamarackwing/callers/caller_head.h"
#include "tamarackwing/callers/refusal_response.h"
#include "tamarackwing/gateway/forward_headers.h"
#include "tamarackwing/gateway/gateway.h"

namespace tamarackwing::gateway {
namespace {

//! The head as the caller sent it: without what the forwarding host added.
http::RequestHead WithoutHop(const http::RequestHead& head) {
  http::RequestHead result = head;
  result.headers = {};
  for (const http::Header& field : head.headers.All()) {
    if (!http::EqualFieldNames(field.name, callers::kHopHeader)) {
      result.headers.Add(field.name, field.value);
    }
  }
  return result;
}

}  // namespace

ForwardListener::ForwardListener(Gateway& gateway) : gateway(gateway) {}

std::optional<http::Response> ForwardListener::CheckHead(
    const http::RequestHead& head) {
  const auto headers =
      ReadForwardHeaders(head.headers, this->gateway.Settings().cluster_secret);
  if (!headers) {
    return callers::MakeRefusalResponse(RefuseNotRun(RefusalCode::kKeyInvalid));
  }
  const bool returned = headers->origin == this->gateway.Settings().host ||
                        head.headers.Count(callers::kHopHeader) != 1;
  if (returned) {
    return callers::MakeRefusalResponse(RefuseNotRun(RefusalCode::kLoop));
  }
  return std::nullopt;
}

http::asio::awaitable<void> ForwardListener::Handle(
    http::Request request,
    http::ResponseWriter& writer) {
  const auto headers = ReadForwardHeaders(
      request.head.headers, this->gateway.Settings().cluster_secret);
  auto head = callers::ParseCallerHead(WithoutHop(request.head));
  if (!head) {
    co_await writer.Send(
        callers::MakeRefusalResponse(RefuseNotRun(head.error())));
    co_return;
  }
  callers::CallerRequest caller_request;
  caller_request.head = std::move(*head);
  caller_request.content_type = std::string(
      request.head.headers.Find("Content-Type").value_or("application/json"));
  caller_request.accept =
      std::string(request.head.headers.Find("Accept").value_or("*/*"));
  caller_request.body = std::move(request.body);
  co_await this->gateway.ServeForwarded(
      std::move(caller_request), headers->workspace, headers->key, writer);
}

http::Response ForwardListener::RejectFault(http::RequestFault) {
  return callers::MakeRefusalResponse(
      RefuseNotRun(RefusalCode::kMalformedRequest));
}

}  // namespace tamarackwing::gateway
