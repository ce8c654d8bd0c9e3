#include "settings.h"

#include <algorithm>
#include <set>
#include <utility>

#include "tamarackwing/config/table_reader.h"

namespace tamarackwing::daemon {
namespace {

using config::FaultCode;
using config::TableReader;

constexpr std::int64_t kMostPort = 65'535;
constexpr std::int64_t kMostThreads = 64;
constexpr std::int64_t kLongestTimeMs = 3'600'000;
constexpr std::int64_t kMostCount = 1'000'000'000;

std::uint16_t ReadPort(TableReader& reader, std::string_view field) {
  return static_cast<std::uint16_t>(
      reader.Number(field, 1, kMostPort, 1, true));
}

std::chrono::milliseconds ReadTime(TableReader& reader,
                                   std::string_view field,
                                   std::chrono::milliseconds otherwise) {
  return std::chrono::milliseconds(
      reader.Number(field, 1, kLongestTimeMs, otherwise.count(), false));
}

template <typename Count>
Count ReadCount(TableReader& reader, std::string_view field, Count otherwise) {
  return static_cast<Count>(reader.Number(
      field, 0, kMostCount, static_cast<std::int64_t>(otherwise), false));
}

http::Endpoint ReadEndpoint(TableReader& document, std::string_view section) {
  http::Endpoint endpoint;
  auto reader = document.Table(section, true);
  if (reader) {
    reader->RejectOthers({"address", "port"});
    endpoint.address = reader->Text("address", true);
    endpoint.port = ReadPort(*reader, "port");
  }
  return endpoint;
}

LogLevel ReadLogLevel(TableReader& document) {
  const std::string level = document.Text("log_level", false);
  if (level == "debug") {
    return LogLevel::kDebug;
  }
  if (level == "warning") {
    return LogLevel::kWarning;
  }
  if (level == "error") {
    return LogLevel::kError;
  }
  if (!level.empty() && level != "info") {
    document.Note(FaultCode::kOutOfRange, "log_level");
  }
  return LogLevel::kInfo;
}

state::HostRecord ReadHost(TableReader& reader, std::vector<HostName>& voters) {
  reader.RejectOthers({"name", "region", "data_centre", "caller_address",
                       "caller_port", "peer_address", "peer_port",
                       "forward_port", "disk", "voter"});
  state::HostRecord host;
  host.name = HostName(reader.Text("name", true));
  host.region = RegionName(reader.Text("region", true));
  host.data_centre = DataCentreName(reader.Text("data_centre", true));
  host.caller_address = reader.Text("caller_address", true);
  host.caller_port = ReadPort(reader, "caller_port");
  host.peer_address = reader.Text("peer_address", true);
  host.peer_port = ReadPort(reader, "peer_port");
  host.forward_port = ReadPort(reader, "forward_port");
  host.has_disk = reader.Flag("disk", false);
  if (reader.Flag("voter", false)) {
    voters.push_back(host.name);
    if (!host.has_disk) {
      reader.Note(FaultCode::kNoDiskHost, "voter");
    }
  }
  return host;
}

void ReadHosts(TableReader& document, Settings& settings) {
  std::set<HostName> names;
  for (TableReader& reader : document.Tables("hosts")) {
    state::HostRecord host = ReadHost(reader, settings.voters);
    if (!names.insert(host.name).second) {
      reader.Note(FaultCode::kDuplicateName, "name");
    }
    settings.hosts.push_back(std::move(host));
  }
  if (!names.contains(settings.gateway.host)) {
    document.Note(FaultCode::kUnknownReference, "name");
  }
  if (settings.voters.empty()) {
    document.Note(FaultCode::kMissingField, "hosts");
  }
}

void ReadLimits(TableReader& document, Settings& settings) {
  auto reader = document.Table("limits", false);
  if (!reader) {
    return;
  }
  reader->RejectOthers({"head_bytes", "body_bytes", "connections", "queue",
                        "answer_bytes", "open_rate", "spill_margin_percent"});
  http::ServerLimits& limits = settings.limits;
  limits.head_bytes = ReadCount(*reader, "head_bytes", limits.head_bytes);
  limits.body_bytes = ReadCount(*reader, "body_bytes", limits.body_bytes);
  limits.connections = ReadCount(*reader, "connections", limits.connections);
  settings.open_rate = ReadCount(*reader, "open_rate", settings.open_rate);
  gateway::GatewaySettings& gateway = settings.gateway;
  gateway.queue_capacity = std::max<std::size_t>(
      1, ReadCount(*reader, "queue", gateway.queue_capacity));
  gateway.answer_bytes =
      ReadCount(*reader, "answer_bytes", gateway.answer_bytes);
  gateway.spill_margin_percent =
      ReadCount(*reader, "spill_margin_percent", gateway.spill_margin_percent);
}

void ReadTimes(TableReader& document, Settings& settings) {
  auto reader = document.Table("times", false);
  if (!reader) {
    return;
  }
  reader->RejectOthers({"heartbeat_ms", "election_ms", "host_lost_ms",
                        "key_freshness_ms", "chunk_life_ms", "server_lease_ms",
                        "server_ramp_ms", "stream_silence_ms",
                        "first_byte_silence_ms", "operation_grace_ms",
                        "idle_ms", "head_ms", "silence_ms", "drain_ms"});
  ControlTimes& times = settings.times;
  times.heartbeat = ReadTime(*reader, "heartbeat_ms", times.heartbeat);
  times.election = ReadTime(*reader, "election_ms", times.election);
  times.host_lost = ReadTime(*reader, "host_lost_ms", times.host_lost);
  times.key_freshness =
      ReadTime(*reader, "key_freshness_ms", times.key_freshness);
  times.chunk_life = ReadTime(*reader, "chunk_life_ms", times.chunk_life);
  settings.servers.lease =
      ReadTime(*reader, "server_lease_ms", settings.servers.lease);
  settings.servers.ramp =
      ReadTime(*reader, "server_ramp_ms", settings.servers.ramp);
  gateway::GatewaySettings& gateway = settings.gateway;
  gateway.stream_silence =
      ReadTime(*reader, "stream_silence_ms", gateway.stream_silence);
  gateway.first_byte_silence =
      ReadTime(*reader, "first_byte_silence_ms", gateway.first_byte_silence);
  gateway.operation_grace =
      ReadTime(*reader, "operation_grace_ms", gateway.operation_grace);
  http::ServerLimits& limits = settings.limits;
  limits.idle_timeout = ReadTime(*reader, "idle_ms", limits.idle_timeout);
  limits.head_timeout = ReadTime(*reader, "head_ms", limits.head_timeout);
  limits.silence_timeout =
      ReadTime(*reader, "silence_ms", limits.silence_timeout);
  settings.drain_limit = ReadTime(*reader, "drain_ms", settings.drain_limit);
  if (times.election < 3 * times.heartbeat) {
    reader->Note(FaultCode::kOutOfRange, "election_ms");
  }
}

}  // namespace

Expected<Settings, config::Faults> ParseSettings(std::string_view toml) {
  const auto table = config::ParseDocument(toml);
  if (!table) {
    return unexpected(table.error());
  }
  config::Faults faults;
  Settings settings;
  TableReader document(*table, "", faults);
  document.RejectOthers(
      {"name", "region", "data_centre", "data_folder", "span_file", "log_level",
       "traffic_threads", "cluster_secret", "operator_token_digest", "callers",
       "backend_servers", "operators", "hosts", "limits", "times"});
  settings.gateway.host = HostName(document.Text("name", true));
  settings.gateway.region = RegionName(document.Text("region", true));
  settings.gateway.data_centre =
      DataCentreName(document.Text("data_centre", true));
  settings.gateway.cluster_secret = document.Text("cluster_secret", true);
  settings.data_folder = document.Text("data_folder", false);
  settings.span_file = document.Text("span_file", false);
  settings.operator_token_digest =
      document.Text("operator_token_digest", false);
  settings.log_level = ReadLogLevel(document);
  settings.traffic_threads = static_cast<std::size_t>(
      document.Number("traffic_threads", 1, kMostThreads, 2, false));
  settings.callers = ReadEndpoint(document, "callers");
  settings.backend_servers = ReadEndpoint(document, "backend_servers");
  settings.operators = ReadEndpoint(document, "operators");
  ReadHosts(document, settings);
  ReadLimits(document, settings);
  ReadTimes(document, settings);
  if (!faults.empty()) {
    return unexpected(std::move(faults));
  }
  return settings;
}

}  // namespace tamarackwing::daemon
