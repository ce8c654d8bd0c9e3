#include "tamarackwing/gateway/forward_listener.h"

#include <utility>

#include "tamarackwing/callers/caller_head.h"
#include "tamarackwing/callers/refusal_response.h"
#include "tamarackwing/gateway/forward_headers.h"
#include "tamarackwing/gateway/gateway.h"

namespace tamarackwing::gateway {
namespace {

//! Returns the head without the hop header that the forwarding host added.
http::RequestHead WithoutHopHeader(const http::RequestHead& head) {
  http::RequestHead result = head;
  result.headers = {};
  for (const http::Header& field : head.headers.All()) {
    if (!http::EqualFieldNames(field.name, callers::kHopHeader)) {
      result.headers.Add(field.name, field.value);
    }
  }
  return result;
}

class ForwardExchange final : public http::Exchange {
 public:
  ForwardExchange(Gateway& gateway,
                  ForwardHeaders headers,
                  callers::CallerRequest request)
      : gateway(gateway),
        headers(std::move(headers)),
        request(std::move(request)) {}

  http::asio::awaitable<void> Serve(std::string body,
                                    http::ResponseWriter& writer) override {
    this->request.body = std::move(body);
    return this->gateway.ServeForwarded(std::move(this->request),
                                        this->headers.workspace,
                                        this->headers.key, writer);
  }

 private:
  Gateway& gateway;
  ForwardHeaders headers;
  callers::CallerRequest request;
};

}  // namespace

ForwardListener::ForwardListener(Gateway& gateway) : gateway(gateway) {}

Expected<std::unique_ptr<http::Exchange>, http::Response>
ForwardListener::Accept(http::RequestHead head) {
  auto headers =
      ReadForwardHeaders(head.headers, this->gateway.Settings().cluster_secret);
  if (!headers) {
    return unexpected(
        callers::MakeRefusalResponse(RefuseNotRun(RefusalCode::kKeyInvalid)));
  }
  const bool returned = headers->origin == this->gateway.Settings().host ||
                        head.headers.Count(callers::kHopHeader) != 1;
  if (returned) {
    return unexpected(
        callers::MakeRefusalResponse(RefuseNotRun(RefusalCode::kLoop)));
  }
  auto caller_head = callers::ParseCallerHead(WithoutHopHeader(head));
  if (!caller_head) {
    return unexpected(
        callers::MakeRefusalResponse(RefuseNotRun(caller_head.error())));
  }
  return std::make_unique<ForwardExchange>(
      this->gateway, std::move(*headers),
      callers::MakeCallerRequest(std::move(*caller_head), head));
}

http::Response ForwardListener::RejectFault(http::RequestFault) {
  return callers::MakeRefusalResponse(
      RefuseNotRun(RefusalCode::kMalformedRequest));
}

}  // namespace tamarackwing::gateway
