#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/config/fault.h"
#include "tamarackwing/http/endpoint.h"

namespace tamarackwing::cli {

//! What one workspace sends.
struct WorkspaceLoad {
  WorkspaceName name;
  std::string key;
  //! Requests in a thousand seconds.
  std::uint64_t requests_per_kilosecond = 1'000;
  RouteName model_route;
  RouteName operation_route;
  //! Operations in a hundred requests.
  std::uint32_t operation_percent = 0;
  std::uint32_t prompt_tokens = 100;
  std::uint32_t output_tokens = 50;
  std::chrono::milliseconds deadline{5'000};
  //! The budget as published, for the naive bucket beside it.
  TokenCount rate = 0;
  TokenCount burst = 0;
  //! Whether requests go to all hosts in turn, not to the directory's first.
  bool spread = false;
};

//! A bounded run.
struct Experiment {
  std::uint64_t seed = 1;
  std::chrono::seconds duration{10};
  //! Callers' addresses of the hosts.
  std::vector<http::Endpoint> hosts;
  //! Stand-in servers that count what they ran.
  std::vector<http::Endpoint> counters;
  std::vector<WorkspaceLoad> workspaces;
};

//! Reads an experiment from TOML; on failure every fault. Thread safety:
//! reentrant.
Expected<Experiment, config::Faults> ParseExperiment(std::string_view toml);

}  // namespace tamarackwing::cli
