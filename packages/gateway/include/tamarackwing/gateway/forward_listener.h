#pragma once

#include "tamarackwing/http/handler.h"

namespace tamarackwing::gateway {

class Gateway;

//! Accepts requests that other hosts forward. They are not forwarded again,
//! which rules out loops.
class ForwardListener final : public http::Handler {
 public:
  //! Precondition: `gateway` outlives the listener.
  explicit ForwardListener(Gateway& gateway);

  Expected<std::unique_ptr<http::Exchange>, http::Response> Accept(
      http::RequestHead head) override;
  http::Response RejectFault(http::RequestFault fault) override;

 private:
  Gateway& gateway;
};

}  // namespace tamarackwing::gateway
