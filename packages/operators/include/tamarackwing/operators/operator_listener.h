#pragma once

#include <string>

#include "tamarackwing/http/whole_request_handler.h"
#include "tamarackwing/state/control_change.h"

namespace tamarackwing::operators {

class OperatorService;

//! The operators' API over HTTP; docs/operators.md lists its calls.
class OperatorListener final : public http::WholeRequestHandler {
 public:
  //! Preconditions: `service` outlives the listener; `token_digest` is the
  //! SHA-256 of the operators' token, empty to refuse everybody.
  OperatorListener(OperatorService& service, std::string token_digest);

  std::optional<http::Response> CheckHead(
      const http::RequestHead& head) override;
  http::asio::awaitable<void> Handle(http::Request request,
                                     http::ResponseWriter& writer) override;
  http::Response RejectFault(http::RequestFault fault) override;

 private:
  http::asio::awaitable<http::Response> Answer(http::Request request);
  http::asio::awaitable<http::Response> Publish(http::Request request);
  http::asio::awaitable<http::Response> MakeChange(state::ControlChange change,
                                                   bool only_check);
  http::asio::awaitable<http::Response> GrantKey(http::Request request);
  http::Response WithdrawKey(const http::Request& request);
  http::asio::awaitable<http::Response> ChangeHost(http::Request request);
  http::asio::awaitable<http::Response> Status();
  http::Response ShowSet();

  OperatorService& service;
  std::string token_digest;
};

}  // namespace tamarackwing::operators
