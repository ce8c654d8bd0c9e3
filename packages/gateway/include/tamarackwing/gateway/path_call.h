#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/http/message.h"
#include "tamarackwing/policy/server_table.h"

namespace tamarackwing::gateway {

//! A prompt as its caller describes it.
struct PromptShape {
  TokenCount prompt_tokens = 0;
  //! The most output tokens.
  TokenCount output_tokens = 0;
  //! In the order of the prompt; the last one is the request's own.
  std::vector<policy::PrefixBlock> prefix_blocks;
};

//! A request that is told apart by its authority and path, and passed on as it
//! is.
struct PathCall {
  //! Names this try of the caller; an answer carries it.
  std::string id;
  std::string authority;
  std::string method;
  //! The path with its query.
  std::string target;
  //! The fields that go on to a server: no key, nothing of one connection, and
  //! nothing that the host sets itself.
  http::Headers passed;
  std::string body;
  std::optional<KeyDigest> key;
  //! How long the caller waits; nothing where it does not say.
  std::optional<std::chrono::milliseconds> caller_timeout;
  //! The last event that the caller has had of this stream.
  std::optional<std::uint64_t> last_event;
  //! Set for a request to a model.
  std::optional<PromptShape> prompt;
};

//! Who a call runs for that another host has forwarded.
struct ForwardedCall {
  WorkspaceName workspace;
  KeyDigest key;
};

//! The path of a target, without its query. Thread safety: as for `target`.
std::string_view PathOf(std::string_view target);

}  // namespace tamarackwing::gateway
