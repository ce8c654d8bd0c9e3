#include "tamarackwing/http/whole_request_handler.h"

#include <utility>

namespace tamarackwing::http {
namespace {

class WholeRequest final : public Exchange {
 public:
  WholeRequest(WholeRequestHandler& handler, RequestHead head)
      : handler(handler) {
    this->request.head = std::move(head);
  }

  asio::awaitable<void> Serve(std::string body,
                              ResponseWriter& writer) override {
    this->request.body = std::move(body);
    return this->handler.Handle(std::move(this->request), writer);
  }

 private:
  WholeRequestHandler& handler;
  Request request;
};

}  // namespace

Expected<std::unique_ptr<Exchange>, Response> WholeRequestHandler::Accept(
    RequestHead head) {
  auto refusal = this->CheckHead(head);
  if (refusal) {
    return unexpected(std::move(*refusal));
  }
  return std::make_unique<WholeRequest>(*this, std::move(head));
}

}  // namespace tamarackwing::http
