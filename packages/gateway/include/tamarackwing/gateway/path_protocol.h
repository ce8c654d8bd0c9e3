#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/base/refusal.h"
#include "tamarackwing/gateway/path_call.h"
#include "tamarackwing/http/message.h"
#include "tamarackwing/policy/server_statement.h"

namespace tamarackwing::gateway {

//! Values that a host adds to a call when sending it.
struct SendContext {
  //! The server process for which the call is meant; empty when forwarding to
  //! another host.
  BackendServerName server;
  //! The workspace on whose behalf the call runs; empty for a call without a
  //! key.
  WorkspaceName workspace;
  //! Time left until the call's deadline.
  std::chrono::milliseconds left{0};
  std::optional<std::uint64_t> last_event;
  //! How urgent the call is; zero is the most urgent. If absent, the server
  //! uses its default.
  std::optional<std::uint32_t> urgency;
};

//! Which call a response names as the one that it answers.
enum class AnsweredCall { kThis, kOther, kNone };

//! Contents of the head of a response.
struct PathResponse {
  //! Unless this is kThis, the other members may be about another call.
  AnsweredCall answered = AnsweredCall::kNone;
  //! The server reports that it did not run the request.
  bool not_run = false;
  //! A server other than the intended one responded and did not run the
  //! request.
  bool other_server = false;
  bool is_stream = false;
  //! What the server says about itself.
  policy::ServerStatement statement;
  //! The head to pass on to the caller.
  http::ResponseHead passed;
};

//! Interface: encodes path calls for servers and decodes their responses.
//! Thread safety: called from every traffic thread.
class PathProtocol {
 public:
  virtual ~PathProtocol() = default;
  //! Encodes a call as a request to a server.
  virtual http::Request EncodeRequest(const PathCall& call,
                                      const SendContext& send) const = 0;
  //! Decodes the head of a server's response to `call`.
  virtual PathResponse ReadResponse(const PathCall& call,
                                    const http::ResponseHead& head) const = 0;
  //! Encodes a refusal as a response to a caller.
  virtual http::Response EncodeRefusal(const Refusal& refusal) const = 0;
};

}  // namespace tamarackwing::gateway
