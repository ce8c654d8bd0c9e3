#include "tamarackwing/callers/caller_listener.h"

#include <utility>

#include "tamarackwing/callers/caller_service.h"
#include "tamarackwing/callers/refusal_response.h"

namespace tamarackwing::callers {
namespace {

class CallerExchange final : public http::Exchange {
 public:
  CallerExchange(CallerService& service, CallerRequest request)
      : service(service), request(std::move(request)) {}

  http::asio::awaitable<void> Serve(std::string body,
                                    http::ResponseWriter& writer) override {
    this->request.body = std::move(body);
    return this->service.Serve(std::move(this->request), writer);
  }

 private:
  CallerService& service;
  CallerRequest request;
};

}  // namespace

CallerRequest MakeCallerRequest(CallerHead head,
                                const http::RequestHead& fields) {
  CallerRequest request;
  request.head = std::move(head);
  request.content_type =
      fields.headers.Find("Content-Type").value_or("application/json");
  request.accept = fields.headers.Find("Accept").value_or("*/*");
  return request;
}

CallerListener::CallerListener(CallerService& service) : service(service) {}

Expected<std::unique_ptr<http::Exchange>, http::Response>
CallerListener::Accept(http::RequestHead head) {
  auto caller_head = ParseCallerHead(head);
  if (!caller_head) {
    return unexpected(MakeRefusalResponse(RefuseNotRun(caller_head.error())));
  }
  const auto refusal = this->service.CheckHead(*caller_head);
  if (refusal) {
    return unexpected(MakeRefusalResponse(*refusal));
  }
  return std::make_unique<CallerExchange>(
      this->service, MakeCallerRequest(std::move(*caller_head), head));
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
