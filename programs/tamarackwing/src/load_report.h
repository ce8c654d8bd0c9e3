#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::cli {

//! Results of one workspace's requests.
struct WorkspaceReport {
  std::uint64_t sent = 0;
  //! Complete responses within the deadline.
  std::uint64_t served = 0;
  //! Complete responses after the deadline.
  std::uint64_t late = 0;
  //! Responses that ended before they were complete.
  std::uint64_t cut = 0;
  //! Refused as over budget although the naive token bucket had the tokens.
  std::uint64_t refused_inside = 0;
  //! Requests for which the naive token bucket had the tokens.
  std::uint64_t naive_admitted = 0;
  //! Refused as over budget, and the naive token bucket lacked the tokens, too.
  std::uint64_t refused_over = 0;
  //! Other refusals, by refusal code; `unreachable` counts requests without a
  //! response.
  std::map<std::string, std::uint64_t> refused;
  //! Time to the first byte of each response with status 200.
  std::vector<std::chrono::nanoseconds> first_byte;
};

//! Results of a load run.
struct LoadReport {
  std::map<WorkspaceName, WorkspaceReport> workspaces;
  //! Requests forwarded between hosts during the run.
  std::uint64_t forwarded = 0;
  //! Operations that ran more than once.
  std::uint64_t double_runs = 0;
  //! Busy time of all slots of the fake servers.
  std::chrono::milliseconds server_time{0};
};

//! Returns the report as indented JSON. Thread safety: reentrant.
std::string RenderReport(const LoadReport& report);

}  // namespace tamarackwing::cli
