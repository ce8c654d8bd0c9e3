#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::cli {

//! What became of one workspace's requests.
struct WorkspaceReport {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  std::uint64_t late = 0;
  //! Answers that ended before they were whole.
  std::uint64_t cut = 0;
  //! Refused over budget though the naive bucket had the tokens.
  std::uint64_t refused_inside = 0;
  //! What the naive bucket would have let through.
  std::uint64_t naive_admitted = 0;
  //! Refused over budget, and by the naive bucket too.
  std::uint64_t refused_over = 0;
  //! Refused for another reason, by its code.
  std::map<std::string, std::uint64_t> refused;
  std::vector<std::chrono::nanoseconds> first_byte;
};

//! What became of a run.
struct LoadReport {
  std::map<WorkspaceName, WorkspaceReport> workspaces;
  std::uint64_t forwarded = 0;
  //! Operations that a server ran more than once.
  std::uint64_t double_runs = 0;
  //! Slot time of all stand-in servers.
  std::chrono::milliseconds server_time{0};
};

//! The report as JSON, for people and programs. Thread safety: reentrant.
std::string RenderReport(const LoadReport& report);

}  // namespace tamarackwing::cli
