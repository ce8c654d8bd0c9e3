#pragma once

#include <optional>
#include <string>

#include "tamarackwing/http/endpoint.h"
#include "tamarackwing/http/io_threads.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::cli {

//! Calls the operators' API of one host. Not thread-safe.
class OperatorClient {
 public:
  OperatorClient(http::Endpoint endpoint, std::string token);

  //! Sends a request and returns the response; nullopt if the host does not
  //! respond. Blocks the calling thread.
  std::optional<http::Response> Call(const std::string& method,
                                     const std::string& target,
                                     http::Headers headers,
                                     std::string body);

 private:
  http::IoThreads threads{1};
  http::Endpoint endpoint;
  std::string token;
};

}  // namespace tamarackwing::cli
