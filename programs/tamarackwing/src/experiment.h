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

//! The load of one workspace.
struct WorkspaceLoad {
  WorkspaceName name;
  std::string key;
  //! Mean request rate, per 1000 seconds.
  std::uint64_t requests_per_kilosecond = 1'000;
  RouteName model_route;
  RouteName operation_route;
  //! Percentage of requests that are operations.
  std::uint32_t operation_percent = 0;
  std::uint32_t prompt_tokens = 100;
  std::uint32_t output_tokens = 50;
  std::chrono::milliseconds deadline{5'000};
  //! The published budget of the workspace: `rate` in tokens per second,
  //! `burst` in tokens. The report compares the hosts' refusals with the
  //! decisions of a naive token bucket that has this budget.
  TokenCount rate = 0;
  TokenCount burst = 0;
  //! Sends requests round-robin to all hosts that the directory returns,
  //! instead of only to the first.
  bool spread = false;
};

//! A load run of limited duration.
struct Experiment {
  std::uint64_t seed = 1;
  std::chrono::seconds duration{10};
  //! Endpoints of the hosts' listeners for callers.
  std::vector<http::Endpoint> hosts;
  //! Endpoints of fake backend servers that report which operations they ran.
  std::vector<http::Endpoint> counters;
  std::vector<WorkspaceLoad> workspaces;
};

//! Parses an experiment from TOML; on failure returns every validation error.
//! Thread safety: reentrant.
Expected<Experiment, config::Faults> ParseExperiment(std::string_view toml);

}  // namespace tamarackwing::cli
