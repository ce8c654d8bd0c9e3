#include "experiment.h"

#include <utility>

#include "tamarackwing/config/table_reader.h"

namespace tamarackwing::cli {
namespace {

using config::TableReader;

constexpr std::int64_t kMaxSeconds = 3'600;
constexpr std::int64_t kMaxTokens = 1'000'000'000;
constexpr std::int64_t kMaxRequests = 10'000'000;

std::vector<http::Endpoint> ReadEndpoints(TableReader& reader,
                                          std::string_view field) {
  std::vector<http::Endpoint> endpoints;
  for (const std::string& text : reader.Texts(field)) {
    const auto endpoint = http::ParseEndpoint(text);
    if (!endpoint) {
      reader.AddFault(config::FaultCode::kOutOfRange, field);
      continue;
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

WorkspaceLoad ReadWorkspace(TableReader& reader) {
  reader.RejectUnknownFields(
      {"name", "key", "requests_per_kilosecond", "model_route",
       "operation_route", "operation_percent", "prompt_tokens", "output_tokens",
       "deadline_ms", "rate", "burst", "spread"});
  WorkspaceLoad load;
  load.name = WorkspaceName(reader.Text("name", true));
  load.key = reader.Text("key", true);
  load.requests_per_kilosecond = static_cast<std::uint64_t>(
      reader.Number("requests_per_kilosecond", 1, kMaxRequests, 1'000, true));
  load.model_route = RouteName(reader.Text("model_route", true));
  load.operation_route = RouteName(reader.Text("operation_route", false));
  load.operation_percent = static_cast<std::uint32_t>(
      reader.Number("operation_percent", 0, 100, 0, false));
  load.prompt_tokens = static_cast<std::uint32_t>(
      reader.Number("prompt_tokens", 1, kMaxTokens, 100, false));
  load.output_tokens = static_cast<std::uint32_t>(
      reader.Number("output_tokens", 1, kMaxTokens, 50, false));
  load.deadline = std::chrono::milliseconds(
      reader.Number("deadline_ms", 1, kMaxSeconds * 1000, 5'000, false));
  load.rate = reader.Number("rate", 1, kMaxTokens, 1, true);
  load.burst = reader.Number("burst", 1, kMaxTokens, 1, true);
  load.spread = reader.Flag("spread", false);
  return load;
}

}  // namespace

Expected<Experiment, config::Faults> ParseExperiment(std::string_view toml) {
  const auto table = config::ParseDocument(toml);
  if (!table) {
    return unexpected(table.error());
  }
  config::Faults faults;
  TableReader document(*table, "", faults);
  document.RejectUnknownFields(
      {"seed", "seconds", "hosts", "counters", "workspaces"});
  Experiment experiment;
  experiment.seed = static_cast<std::uint64_t>(
      document.Number("seed", 0, kMaxTokens, 1, false));
  experiment.duration = std::chrono::seconds(
      document.Number("seconds", 1, kMaxSeconds, 10, true));
  experiment.hosts = ReadEndpoints(document, "hosts");
  experiment.counters = ReadEndpoints(document, "counters");
  for (TableReader& reader : document.Tables("workspaces")) {
    experiment.workspaces.push_back(ReadWorkspace(reader));
  }
  if (experiment.workspaces.empty()) {
    document.AddFault(config::FaultCode::kMissingField, "workspaces");
  }
  if (!faults.empty()) {
    return unexpected(std::move(faults));
  }
  return experiment;
}

}  // namespace tamarackwing::cli
