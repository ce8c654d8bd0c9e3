#include "load_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tamarackwing::cli {
namespace {

using nlohmann::ordered_json;

//! Returns a quantile of `times`, zero if there are none.
double QuantileMs(std::vector<std::chrono::nanoseconds> times,
                  double quantile) {
  if (times.empty()) {
    return 0;
  }
  const auto at = static_cast<std::size_t>(
      quantile * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(),
                   times.begin() + static_cast<std::ptrdiff_t>(at),
                   times.end());
  return std::chrono::duration<double, std::milli>(times[at]).count();
}

double ServedShare(const WorkspaceReport& report) {
  return report.sent == 0 ? 1
                          : static_cast<double>(report.served) /
                                static_cast<double>(report.sent);
}

}  // namespace

std::string RenderReport(const LoadReport& report) {
  ordered_json document;
  std::uint64_t sent = 0;
  double worst = 1;
  std::string worst_name;
  for (const auto& [name, workspace] : report.workspaces) {
    ordered_json entry;
    entry["sent"] = workspace.sent;
    entry["served"] = workspace.served;
    entry["late"] = workspace.late;
    entry["cut"] = workspace.cut;
    entry["refused_inside_rate"] = workspace.refused_inside;
    entry["refused_over_rate"] = workspace.refused_over;
    entry["within_budget"] =
        workspace.sent - workspace.refused_inside - workspace.refused_over;
    entry["naive_within_budget"] = workspace.naive_admitted;
    entry["refused_otherwise"] = workspace.refused;
    entry["first_byte_p50_ms"] = QuantileMs(workspace.first_byte, 0.5);
    entry["first_byte_p99_ms"] = QuantileMs(workspace.first_byte, 0.99);
    document["workspaces"][name.Text()] = std::move(entry);
    sent += workspace.sent;
    if (ServedShare(workspace) < worst || worst_name.empty()) {
      worst = ServedShare(workspace);
      worst_name = name.Text();
    }
  }
  document["worst_served"] = {{"workspace", worst_name}, {"share", worst}};
  document["forwarded_share"] =
      sent == 0
          ? 0.0
          : static_cast<double>(report.forwarded) / static_cast<double>(sent);
  document["double_runs"] = report.double_runs;
  document["server_seconds"] =
      std::chrono::duration<double>(report.server_time).count();
  return document.dump(2);
}

}  // namespace tamarackwing::cli
