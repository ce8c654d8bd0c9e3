#pragma once

#include <optional>
#include <string>

#include "tamarackwing/base/refusal.h"
#include "tamarackwing/callers/caller_head.h"
#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/message.h"
#include "tamarackwing/http/server_limits.h"

namespace tamarackwing::http {
class ResponseWriter;
}  // namespace tamarackwing::http

namespace tamarackwing::callers {

//! Complete request of a caller.
struct CallerRequest {
  CallerHead head;
  std::string content_type;
  std::string accept;
  std::string body;
};

//! Returns a request without its body, made from the parsed head and the header
//! fields of the HTTP request. Thread safety: reentrant.
CallerRequest MakeCallerRequest(CallerHead head,
                                const http::RequestHead& fields);

//! Interface: serves the callers of a host.
//! Thread safety: called from every traffic thread.
class CallerService {
 public:
  virtual ~CallerService() = default;
  //! Returns the current limits of callers' requests; `listener` holds the
  //! limits that the listener was created with.
  virtual http::ServerLimits LimitsNow(
      const http::ServerLimits& listener) const = 0;
  //! Returns a refusal if the head alone shows that the request must be
  //! refused. Called before the body is read.
  virtual std::optional<Refusal> CheckHead(const CallerHead& head) = 0;
  //! Serves one request and writes a response or a refusal to `writer`.
  virtual http::asio::awaitable<void> Serve(CallerRequest request,
                                            http::ResponseWriter& writer) = 0;
};

}  // namespace tamarackwing::callers
