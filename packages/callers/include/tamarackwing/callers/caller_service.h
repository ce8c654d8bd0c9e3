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

//! A caller's request, whole.
struct CallerRequest {
  CallerHead head;
  std::string content_type;
  std::string accept;
  std::string body;
};

//! A request without its body, from its head and the fields that came with it.
//! Thread safety: reentrant.
CallerRequest MakeCallerRequest(CallerHead head,
                                const http::RequestHead& fields);

//! Interface: what serves the callers of a host.
//! Thread safety: called from every traffic thread.
class CallerService {
 public:
  virtual ~CallerService() = default;
  //! What callers may send now; `listener` has the bounds of the listener.
  virtual http::ServerLimits LimitsNow(
      const http::ServerLimits& listener) const = 0;
  //! Refuses what the head alone shows to be refused, before the body is read.
  virtual std::optional<Refusal> CheckHead(const CallerHead& head) = 0;
  //! Serves one request: an answer, or a refusal, goes to `writer`.
  virtual http::asio::awaitable<void> Serve(CallerRequest request,
                                            http::ResponseWriter& writer) = 0;
};

}  // namespace tamarackwing::callers
