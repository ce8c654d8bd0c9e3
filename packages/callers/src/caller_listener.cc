#include "tamarackwing/callers/caller_listener.h"

#include <utility>

#include "tamarackwing/callers/caller_service.h"
#include "tamarackwing/callers/refusal_response.h"

namespace tamarackwing::callers {

CallerListener::CallerListener(CallerService& service) : service(service) {}

std::optional<http::Response> CallerListener::CheckHead(
    const http::RequestHead& head) {
  const auto caller_head = ParseCallerHead(head);
  if (!caller_head) {
    return MakeRefusalResponse(RefuseNotRun(caller_head.error()));
  }
  const auto refusal = this->service.CheckHead(*caller_head);
  if (!refusal) {
    return std::nullopt;
  }
  return MakeRefusalResponse(*refusal);
}

http::asio::awaitable<void> CallerListener::Handle(
    http::Request request,
    http::ResponseWriter& writer) {
  auto head = ParseCallerHead(request.head);
  if (!head) {
    co_await writer.Send(MakeRefusalResponse(RefuseNotRun(head.error())));
    co_return;
  }
  CallerRequest caller_request;
  caller_request.head = std::move(*head);
  caller_request.content_type =
      request.head.headers.Find("Content-Type").value_or("application/json");
  caller_request.accept = request.head.headers.Find("Accept").value_or("*/*");
  caller_request.body = std::move(request.body);
  co_await this->service.Serve(std::move(caller_request), writer);
}

http::ServerLimits CallerListener::LimitsNow(
    const http::ServerLimits& listener) const {
  return this->service.LimitsNow(listener);
}

http::Response CallerListener::RejectFault(http::RequestFault fault) {
  RefusalCode code = RefusalCode::kMalformedRequest;
  switch (fault) {
    case http::RequestFault::kMalformed:
      break;
    case http::RequestFault::kHeadTooLarge:
    case http::RequestFault::kBodyTooLarge:
      code = RefusalCode::kTooLarge;
      break;
    case http::RequestFault::kSlow:
      code = RefusalCode::kTooSlow;
      break;
  }
  return MakeRefusalResponse(RefuseNotRun(code));
}

}  // namespace tamarackwing::callers
