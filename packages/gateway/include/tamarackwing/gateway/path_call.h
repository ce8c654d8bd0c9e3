#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/http/message.h"
#include "tamarackwing/policy/server_table.h"
#include "tamarackwing/policy/stream_origin.h"

namespace tamarackwing::gateway {

//! Size and prefix blocks of a prompt, as given by its caller.
struct PromptShape {
  TokenCount prompt_tokens = 0;
  //! Maximum number of output tokens.
  TokenCount output_tokens = 0;
  //! In the order of the prompt. The last block is specific to the request;
  //! those before it can be shared with other requests.
  std::vector<policy::PrefixBlock> prefix_blocks;
};

//! A request that is routed by its authority and path and passed on unchanged.
struct PathCall {
  //! Identifies this attempt of the caller; a server's response repeats it.
  std::string id;
  std::string authority;
  std::string method;
  //! Path and query.
  std::string target;
  //! Headers passed on to a server: without the key, hop-by-hop headers and
  //! those that the host sets itself.
  http::Headers passed;
  std::string body;
  std::optional<KeyDigest> key;
  //! How long the caller waits, if its request states it.
  std::optional<std::chrono::milliseconds> caller_timeout;
  //! Id of the last event of this stream that the caller has received.
  std::optional<std::uint64_t> last_event;
  //! Id of the attempt that brought the first event of the stream that this
  //! call goes on with; empty if the caller named none.
  std::string resumes;
  //! Set for a request to a model.
  std::optional<PromptShape> prompt;
  //! Digests of the prompt's blocks that other requests can share, each by its
  //! content alone.
  std::vector<std::uint64_t> shared_blocks;
};

//! Workspace and key on whose behalf a call forwarded by another host runs.
struct ForwardedCall {
  WorkspaceName workspace;
  KeyDigest key;
  //! Where the stream began that the call goes on with, if it does.
  std::optional<policy::StreamOrigin> stream;
  //! The forwarding host.
  HostName origin;
};

//! Returns a digest of what stays the same if a caller repeats a request: the
//! workspace, the authority, the method, the target and the body. The id and
//! other headers may differ. Thread safety: reentrant.
std::uint64_t DigestContent(const WorkspaceName& workspace,
                            const PathCall& call);

//! Returns the path of a request target, without its query.
//! Thread safety: as for `target`.
std::string_view PathOf(std::string_view target);

}  // namespace tamarackwing::gateway
