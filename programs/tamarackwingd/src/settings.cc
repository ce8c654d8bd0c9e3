#include "settings.h"

#include <algorithm>
#include <set>
#include <utility>

#include "tamarackwing/config/table_reader.h"
#include "tamarackwing/control/membership_plan.h"

namespace tamarackwing::daemon {
namespace {

using config::FaultCode;
using config::TableReader;

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxTimeMs = 3'600'000;
constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr std::int64_t kMaxLosses = 9;

std::uint16_t ReadPort(TableReader& reader, std::string_view field) {
  return static_cast<std::uint16_t>(reader.Number(field, 1, kMaxPort, 1, true));
}

std::chrono::milliseconds ReadTime(TableReader& reader,
                                   std::string_view field,
                                   std::chrono::milliseconds fallback) {
  return std::chrono::milliseconds(
      reader.Number(field, 1, kMaxTimeMs, fallback.count(), false));
}

template <typename Count>
Count ReadCount(TableReader& reader, std::string_view field, Count fallback) {
  return static_cast<Count>(reader.Number(
      field, 0, kMaxCount, static_cast<std::int64_t>(fallback), false));
}

//! Reads a limit that a deployment states for all hosts together, which may
//! have a fraction. Rounded down, it is still kept.
template <typename Count>
Count ReadStatedLimit(TableReader& reader,
                      std::string_view field,
                      Count fallback) {
  return static_cast<Count>(reader.RoundedDown(
      field, 0, kMaxCount, static_cast<std::int64_t>(fallback)));
}

//! Reads a field of the form ADDRESS:PORT.
http::Endpoint ReadAddressAndPort(TableReader& reader, std::string_view field) {
  auto endpoint = http::ParseEndpoint(reader.Text(field, true));
  if (!endpoint) {
    reader.AddFault(FaultCode::kOutOfRange, field);
    return {};
  }
  return std::move(*endpoint);
}

//! Reads `listen`, or `address` and `port`, of a section; without the section,
//! the port is zero, which opens no listener.
http::Endpoint ReadEndpoint(TableReader& document, std::string_view section) {
  http::Endpoint endpoint;
  auto reader = document.Table(section, false);
  if (!reader) {
    return endpoint;
  }
  reader->RejectUnknownFields({"address", "port", "listen"});
  if (reader->Has("listen")) {
    return ReadAddressAndPort(*reader, "listen");
  }
  endpoint.address = reader->Text("address", true);
  endpoint.port = ReadPort(*reader, "port");
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
    document.AddFault(FaultCode::kOutOfRange, "log_level");
  }
  return LogLevel::kInfo;
}

state::HostRecord ReadHost(TableReader& reader, std::vector<HostName>& voters) {
  reader.RejectUnknownFields({"name", "region", "data_centre", "caller_address",
                              "caller_port", "callers", "peer_address",
                              "peer_port", "forward_port", "disk", "voter"});
  state::HostRecord host;
  host.name = HostName(reader.Text("name", true));
  host.region = RegionName(reader.Text("region", true));
  host.data_centre = DataCentreName(reader.Text("data_centre", true));
  if (reader.Has("callers")) {
    const http::Endpoint callers = ReadAddressAndPort(reader, "callers");
    host.caller_address = callers.address;
    host.caller_port = callers.port;
  } else if (reader.Has("caller_address") || reader.Has("caller_port")) {
    host.caller_address = reader.Text("caller_address", true);
    host.caller_port = ReadPort(reader, "caller_port");
  }
  host.peer_address = reader.Text("peer_address", true);
  host.peer_port = ReadPort(reader, "peer_port");
  host.forward_port = ReadPort(reader, "forward_port");
  host.has_disk = reader.Flag("disk", false);
  if (reader.Flag("voter", false)) {
    voters.push_back(host.name);
    if (!host.has_disk) {
      reader.AddFault(FaultCode::kNoDiskHost, "voter");
    }
  }
  return host;
}

void ReadHosts(TableReader& document, Settings& settings) {
  std::set<HostName> names;
  for (TableReader& reader : document.Tables("hosts")) {
    state::HostRecord host = ReadHost(reader, settings.voters);
    if (!names.insert(host.name).second) {
      reader.AddFault(FaultCode::kDuplicateName, "name");
    }
    settings.hosts.push_back(std::move(host));
  }
  if (!names.contains(settings.gateway.host)) {
    document.AddFault(FaultCode::kUnknownReference, "name");
  }
  if (settings.voters.empty() && !settings.membership.IsUsed()) {
    document.AddFault(FaultCode::kMissingField, "hosts");
  }
}

void ReadMembership(TableReader& document, Settings& settings) {
  auto reader = document.Table("membership", false);
  if (!reader) {
    return;
  }
  reader->RejectUnknownFields(
      {"seeds", "peer_port", "voters", "tolerated_losses", "catch_up_s"});
  Membership& membership = settings.membership;
  for (const std::string& seed : reader->Texts("seeds")) {
    // A port in a seed is ignored: it may be that of another listener, and all
    // hosts listen for peers on `peer_port`.
    membership.seeds.push_back(seed.substr(0, seed.find(':')));
  }
  membership.peer_port = ReadPort(*reader, "peer_port");
  membership.voters = ReadCount(*reader, "voters", membership.voters);
  if (reader->Has("tolerated_losses")) {
    membership.voters = control::VotersFor(static_cast<std::size_t>(
        reader->Number("tolerated_losses", 0, kMaxLosses, 1, true)));
  }
  if (reader->Has("catch_up_s")) {
    membership.catch_up = std::chrono::seconds(
        reader->RoundedDown("catch_up_s", 0, kMaxTimeMs / 1'000, 4));
  }
}

void ReadDataCentres(TableReader& document, Settings& settings) {
  for (TableReader& reader : document.Tables("data_centres")) {
    reader.RejectUnknownFields({"name", "region"});
    settings.data_centres[DataCentreName(reader.Text("name", true))] =
        RegionName(reader.Text("region", true));
  }
}

void ReadAdapter(TableReader& document, Settings& settings) {
  AdapterEndpoints& adapter = settings.adapter;
  adapter.callers = ReadEndpoint(document, "adapter_callers");
  adapter.readiness = ReadEndpoint(document, "adapter_readiness");
  adapter.control = ReadEndpoint(document, "adapter_control");
  adapter.directory = ReadEndpoint(document, "adapter_directory");
}

void ReadLimits(TableReader& document, Settings& settings) {
  auto reader = document.Table("limits", false);
  if (!reader) {
    return;
  }
  reader->RejectUnknownFields(
      {"head_bytes", "body_bytes", "connections", "queue", "answer_bytes",
       "open_rate", "spill_margin_percent", "fleet_retries",
       "rate_tolerance_tokens", "rate_tolerance_percent",
       "rate_tolerance_span_s", "prefill_rate", "decode_rate"});
  http::ServerLimits& limits = settings.limits;
  limits.head_bytes = ReadCount(*reader, "head_bytes", limits.head_bytes);
  limits.body_bytes = ReadCount(*reader, "body_bytes", limits.body_bytes);
  limits.connections = ReadCount(*reader, "connections", limits.connections);
  settings.open_rate = ReadCount(*reader, "open_rate", settings.open_rate);
  settings.fleet_retries =
      ReadStatedLimit(*reader, "fleet_retries", settings.fleet_retries);
  policy::ServerTableLimits& servers = settings.servers;
  servers.prefill_rate =
      std::max(1.0, ReadCount(*reader, "prefill_rate", servers.prefill_rate));
  servers.decode_rate =
      std::max(1.0, ReadCount(*reader, "decode_rate", servers.decode_rate));
  RateTolerance& tolerance = settings.rate_tolerance;
  tolerance.tokens =
      ReadStatedLimit(*reader, "rate_tolerance_tokens", tolerance.tokens);
  tolerance.percent =
      ReadCount(*reader, "rate_tolerance_percent", tolerance.percent);
  tolerance.span = std::chrono::seconds(ReadStatedLimit(
      *reader, "rate_tolerance_span_s", tolerance.span.count()));
  gateway::GatewaySettings& gateway = settings.gateway;
  gateway.queue_capacity = std::max<std::size_t>(
      1, ReadCount(*reader, "queue", gateway.queue_capacity));
  gateway.answer_bytes =
      ReadCount(*reader, "answer_bytes", gateway.answer_bytes);
  gateway.spill_margin_percent =
      ReadCount(*reader, "spill_margin_percent", gateway.spill_margin_percent);
}

void ReadScheduling(TableReader& document, Settings& settings) {
  auto reader = document.Table("scheduling", false);
  if (!reader) {
    return;
  }
  reader->RejectUnknownFields({"ask_other_keepers", "share_loads",
                               "spill_ahead", "fit_deadlines", "pass_urgency",
                               "prefill_tokens_per_s"});
  gateway::SchedulingSettings& scheduling = settings.gateway.scheduling;
  scheduling.ask_other_keepers = reader->Flag("ask_other_keepers", false);
  scheduling.share_loads = reader->Flag("share_loads", false);
  scheduling.spill_ahead = reader->Flag("spill_ahead", false);
  scheduling.fit_deadlines = reader->Flag("fit_deadlines", false);
  scheduling.pass_urgency = reader->Flag("pass_urgency", false);
  settings.servers.shares_loads = scheduling.share_loads;
  scheduling.prefill_tokens_per_s =
      std::max(1.0, ReadCount(*reader, "prefill_tokens_per_s",
                              scheduling.prefill_tokens_per_s));
  settings.servers.shared_prefill_rate = scheduling.prefill_tokens_per_s;
}

void ReadTimes(TableReader& document, Settings& settings) {
  auto reader = document.Table("times", false);
  if (!reader) {
    return;
  }
  reader->RejectUnknownFields(
      {"heartbeat_ms", "election_ms", "host_lost_ms", "key_freshness_ms",
       "chunk_life_ms", "server_lease_ms", "server_ramp_ms",
       "stream_silence_ms", "first_byte_silence_ms", "operation_grace_ms",
       "idle_ms", "head_ms", "silence_ms", "drain_ms", "server_lapsed_ms",
       "server_pause_ms", "server_silence_ms", "key_withdrawn_ms",
       "stop_grace_s"});
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
  settings.servers.lapsed =
      ReadTime(*reader, "server_lapsed_ms", settings.servers.lapsed);
  settings.servers.max_ejection =
      ReadTime(*reader, "server_pause_ms", settings.servers.max_ejection);
  settings.servers.silence =
      ReadTime(*reader, "server_silence_ms", settings.servers.silence);
  if (reader->Has("key_withdrawn_ms")) {
    // Keeps a fifth of the time in reserve: a request that a caller sent before
    // its key was withdrawn may arrive after the withdrawal.
    times.key_freshness =
        std::chrono::milliseconds(reader->RoundedDown(
            "key_withdrawn_ms", 1, kMaxTimeMs, times.key_freshness.count())) *
        4 / 5;
  }
  if (reader->Has("stop_grace_s")) {
    const std::chrono::seconds grace(
        reader->RoundedDown("stop_grace_s", 1, kMaxTimeMs / 1'000, 8));
    settings.drain_limit = std::chrono::milliseconds(grace) * 15 / 16;
    settings.drain_serves = std::chrono::milliseconds(grace) * 3 / 8;
  }
  if (times.election < 3 * times.heartbeat) {
    reader->AddFault(FaultCode::kOutOfRange, "election_ms");
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
  document.RejectUnknownFields({"name",
                                "region",
                                "data_centre",
                                "data_folder",
                                "span_file",
                                "log_level",
                                "traffic_threads",
                                "cluster_secret",
                                "operator_token_digest",
                                "callers",
                                "backend_servers",
                                "operators",
                                "hosts",
                                "limits",
                                "scheduling",
                                "times",
                                "membership",
                                "found_log",
                                "data_centres",
                                "adapter_callers",
                                "adapter_readiness",
                                "adapter_control",
                                "adapter_directory",
                                "metrics"});
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
      document.Number("traffic_threads", 1, kMaxThreads, 2, false));
  settings.callers = ReadEndpoint(document, "callers");
  settings.backend_servers = ReadEndpoint(document, "backend_servers");
  settings.operators = ReadEndpoint(document, "operators");
  settings.metrics = ReadEndpoint(document, "metrics");
  settings.found_log = document.Flag("found_log", false);
  ReadAdapter(document, settings);
  ReadMembership(document, settings);
  ReadDataCentres(document, settings);
  ReadHosts(document, settings);
  const bool has_adapter =
      settings.adapter.callers.port != 0 || settings.adapter.control.port != 0;
  const bool has_callers = settings.callers.port != 0 &&
                           settings.backend_servers.port != 0 &&
                           settings.operators.port != 0;
  if (!has_adapter && !has_callers) {
    document.AddFault(FaultCode::kMissingField, "callers");
  }
  ReadLimits(document, settings);
  ReadTimes(document, settings);
  ReadScheduling(document, settings);
  if (!faults.empty()) {
    return unexpected(std::move(faults));
  }
  return settings;
}

}  // namespace tamarackwing::daemon
