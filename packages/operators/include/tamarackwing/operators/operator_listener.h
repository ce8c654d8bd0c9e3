#pragma once

#include <string>

#include "tamarackwing/http/whole_request_handler.h"
#include "tamarackwing/state/control_change.h"

namespace tamarackwing::operators {

class OperatorService;

//! HTTP handler of the operators' API; docs/operators.md lists its requests.
class OperatorListener final : public http::WholeRequestHandler {
 public:
  //! Preconditions: `service` outlives the listener; `token_digest` is the
  //! hexadecimal SHA-256 of the operators' token, or empty to refuse every
  //! request.
  OperatorListener(OperatorService& service, std::string token_digest);

  std::optional<http::Response> CheckHead(
      const http::RequestHead& head) override;
  http::asio::awaitable<void> Handle(http::Request request,
                                     http::ResponseWriter& writer) override;
  http::Response RejectFault(http::RequestFault fault) override;

 private:
  http::asio::awaitable<http::Response> Dispatch(http::Request request);
  http::asio::awaitable<http::Response> Publish(http::Request request);
  //! Submits a change, or only checks it, and waits for its outcome.
  http::asio::awaitable<http::Response> MakeChange(state::ControlChange change,
                                                   bool check_only);
  http::asio::awaitable<http::Response> GrantKey(http::Request request);
  http::Response WithdrawKey(const http::Request& request);
  //! Drains or removes the host that the request's path names.
  http::asio::awaitable<http::Response> ChangeHost(http::Request request);
  http::asio::awaitable<http::Response> Status();
  http::Response ShowSet();

  OperatorService& service;
  std::string token_digest;
};

}  // namespace tamarackwing::operators
