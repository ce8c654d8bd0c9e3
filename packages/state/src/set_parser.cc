#include "tamarackwing/state/set_parser.h"

#include <algorithm>
#include <string>
#include <utility>

#include "tamarackwing/config/table_reader.h"

namespace tamarackwing::state {
namespace {

constexpr TokenCount kMaxRate = 1'000'000'000;
constexpr std::int64_t kMaxWeight = 1'000;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::int64_t kMaxConnections = 1'000'000;
constexpr std::int64_t kMaxHeadBytes = 1 << 20;
constexpr std::int64_t kMaxBodyBytes = 1 << 30;
constexpr std::size_t kDigestDigits = 64;

bool IsDigest(const std::string& text) {
  return text.size() == kDigestDigits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

std::vector<RegionName> ReadRegions(config::TableReader& reader,
                                    std::string_view field) {
  std::vector<RegionName> regions;
  for (std::string& text : reader.Texts(field)) {
    regions.emplace_back(std::move(text));
  }
  return regions;
}

ResidencyRule ReadResidencyRule(config::TableReader& reader) {
  reader.RejectUnknownFields({"name", "regions"});
  ResidencyRule rule;
  rule.name = ResidencyRuleName(reader.Text("name", true));
  rule.regions = ReadRegions(reader, "regions");
  return rule;
}

Workspace ReadWorkspace(config::TableReader& reader) {
  reader.RejectUnknownFields({"name", "rate", "burst", "weight", "priority",
                              "plain_tokens", "home_regions", "residency"});
  Workspace workspace;
  workspace.name = WorkspaceName(reader.Text("name", true));
  workspace.rate = reader.Number("rate", 1, kMaxRate, 1, true);
  workspace.burst = reader.Number("burst", 1, kMaxRate, 1, true);
  workspace.weight = static_cast<std::uint32_t>(
      reader.Number("weight", 1, kMaxWeight, 1, false));
  if (reader.Has("priority")) {
    workspace.priority = static_cast<std::uint32_t>(
        reader.Number("priority", 0, kMaxWeight, 0, false));
  }
  workspace.plain_tokens = reader.Number("plain_tokens", 1, kMaxRate, 1, false);
  workspace.home_regions = ReadRegions(reader, "home_regions");
  workspace.residency = ResidencyRuleName(reader.Text("residency", true));
  return workspace;
}

Key ReadKey(config::TableReader& reader) {
  reader.RejectUnknownFields({"digest", "workspace", "home_regions"});
  Key key;
  key.digest = KeyDigest(reader.Text("digest", true));
  if (!key.digest.IsEmpty() && !IsDigest(key.digest.Text())) {
    reader.AddFault(config::FaultCode::kInvalidDigest, "digest");
  }
  key.workspace = WorkspaceName(reader.Text("workspace", true));
  key.home_regions = ReadRegions(reader, "home_regions");
  return key;
}

ModelVersion ReadModelVersion(config::TableReader& reader) {
  reader.RejectUnknownFields({"name", "model"});
  ModelVersion version;
  version.name = ModelVersionName(reader.Text("name", true));
  version.model = reader.Text("model", true);
  return version;
}

Route ReadRoute(config::TableReader& reader) {
  reader.RejectUnknownFields({"name", "kind", "idempotent", "open",
                              "deadline_ms", "model_version", "home_regions",
                              "residency"});
  Route route;
  route.name = RouteName(reader.Text("name", true));
  const std::string kind = reader.Text("kind", true);
  if (kind == "service") {
    route.kind = RouteKind::kService;
  } else if (kind != "model" && !kind.empty()) {
    reader.AddFault(config::FaultCode::kOutOfRange, "kind");
  }
  route.idempotent = reader.Flag("idempotent", route.kind == RouteKind::kModel);
  route.open = reader.Flag("open", false);
  route.deadline = std::chrono::milliseconds(
      reader.Number("deadline_ms", 1, kMaxDeadlineMs, 1, true));
  route.model_version = ModelVersionName(
      reader.Text("model_version", route.kind == RouteKind::kModel));
  route.home_regions = ReadRegions(reader, "home_regions");
  route.residency = ResidencyRuleName(reader.Text("residency", true));
  return route;
}

Service ReadService(config::TableReader& reader) {
  reader.RejectUnknownFields({"name", "connection_limit", "warmup_ms",
                              "warmup_per_kilosecond", "engine_slots",
                              "engine_tokens"});
  Service service;
  service.name = ServiceName(reader.Text("name", true));
  service.connection_limit = static_cast<std::uint32_t>(
      reader.Number("connection_limit", 0, kMaxConnections, 0, false));
  service.warmup = std::chrono::milliseconds(
      reader.Number("warmup_ms", 0, kMaxDeadlineMs, 0, false));
  service.warmup_per_kilosecond = static_cast<std::uint32_t>(
      reader.Number("warmup_per_kilosecond", 0, kMaxRate, 0, false));
  service.engine_slots = static_cast<std::uint32_t>(
      reader.Number("engine_slots", 0, kMaxConnections, 0, false));
  service.engine_tokens = reader.Number("engine_tokens", 0, kMaxRate, 0, false);
  return service;
}

PathKind ReadPathKind(config::TableReader& reader) {
  const std::string kind = reader.Text("kind", true);
  if (kind == "idempotent") {
    return PathKind::kIdempotent;
  }
  if (kind == "stream") {
    return PathKind::kStream;
  }
  if (kind != "once") {
    reader.AddFault(config::FaultCode::kOutOfRange, "kind");
  }
  return PathKind::kOnce;
}

PathRoute ReadPathRoute(config::TableReader& reader) {
  reader.RejectUnknownFields({"name", "authority", "prefix", "kind", "open",
                              "resumable", "timeout_ms", "target_latency_ms",
                              "target_gap_ms", "priority", "most_tries",
                              "services", "residency"});
  PathRoute route;
  route.name = RouteName(reader.Text("name", true));
  route.authority = reader.Text("authority", true);
  route.prefix = reader.Text("prefix", true);
  route.kind = ReadPathKind(reader);
  route.open = reader.Flag("open", false);
  route.resumable = reader.Flag("resumable", false);
  route.timeout = std::chrono::milliseconds(
      reader.Number("timeout_ms", 1, kMaxDeadlineMs, 1, true));
  route.target_latency = std::chrono::milliseconds(
      reader.Number("target_latency_ms", 0, kMaxDeadlineMs, 0, false));
  route.target_gap = std::chrono::milliseconds(
      reader.Number("target_gap_ms", 0, kMaxDeadlineMs, 0, false));
  route.priority = static_cast<std::uint32_t>(
      reader.Number("priority", 0, kMaxWeight, 0, false));
  route.most_tries = static_cast<std::uint32_t>(
      reader.Number("most_tries", 1, kMaxWeight, 1, false));
  for (config::TableReader& share : reader.Tables("services")) {
    share.RejectUnknownFields({"service", "weight"});
    route.services.push_back({ServiceName(share.Text("service", true)),
                              static_cast<std::uint32_t>(share.Number(
                                  "weight", 0, kMaxWeight, 1, false))});
  }
  route.residency = ResidencyRuleName(reader.Text("residency", true));
  return route;
}

CallerLimits ReadCallerLimits(config::TableReader& reader) {
  reader.RejectUnknownFields(
      {"head_bytes", "body_bytes", "head_ms", "idle_ms"});
  CallerLimits limits;
  if (reader.Has("head_bytes")) {
    limits.head_bytes = static_cast<std::uint32_t>(
        reader.Number("head_bytes", 1, kMaxHeadBytes, 1, true));
  }
  if (reader.Has("body_bytes")) {
    limits.body_bytes = static_cast<std::uint64_t>(
        reader.Number("body_bytes", 1, kMaxBodyBytes, 1, true));
  }
  if (reader.Has("head_ms")) {
    limits.head_timeout = std::chrono::milliseconds(
        reader.Number("head_ms", 1, kMaxDeadlineMs, 1, true));
  }
  if (reader.Has("idle_ms")) {
    limits.idle_timeout = std::chrono::milliseconds(
        reader.Number("idle_ms", 1, kMaxDeadlineMs, 1, true));
  }
  return limits;
}

template <typename Object, typename Name>
void ReadObjects(config::TableReader& document,
                 ObjectKind kind,
                 Object (*read)(config::TableReader&),
                 const Name& (*name_of)(const Object&),
                 std::map<Name, Object>& objects,
                 config::Faults& faults) {
  for (config::TableReader& reader : document.Tables(ObjectKindName(kind))) {
    Object object = read(reader);
    const Name name = name_of(object);
    if (!objects.emplace(name, std::move(object)).second) {
      faults.push_back({config::FaultCode::kDuplicateName, reader.Path(),
                        reader.Line(), name.Text()});
    }
  }
}

template <typename Object>
const auto& NameOf(const Object& object) {
  return object.name;
}

const KeyDigest& DigestOf(const Key& key) {
  return key.digest;
}

}  // namespace

Expected<ConfigurationSet, config::Faults> ParseSet(std::string_view toml) {
  const auto table = config::ParseDocument(toml);
  if (!table) {
    return unexpected(table.error());
  }
  config::Faults faults;
  ConfigurationSet set;
  config::TableReader document(*table, "", faults);
  document.RejectUnknownFields({"residency_rules", "workspaces", "keys",
                                "model_versions", "routes", "services",
                                "path_routes", "caller_limits"});
  if (auto limits = document.Table("caller_limits", false)) {
    set.caller_limits = ReadCallerLimits(*limits);
  }
  ReadObjects(document, ObjectKind::kResidencyRule, ReadResidencyRule,
              NameOf<ResidencyRule>, set.residency_rules, faults);
  ReadObjects(document, ObjectKind::kWorkspace, ReadWorkspace,
              NameOf<Workspace>, set.workspaces, faults);
  ReadObjects(document, ObjectKind::kKey, ReadKey, DigestOf, set.keys, faults);
  ReadObjects(document, ObjectKind::kModelVersion, ReadModelVersion,
              NameOf<ModelVersion>, set.model_versions, faults);
  ReadObjects(document, ObjectKind::kRoute, ReadRoute, NameOf<Route>,
              set.routes, faults);
  ReadObjects(document, ObjectKind::kService, ReadService, NameOf<Service>,
              set.services, faults);
  ReadObjects(document, ObjectKind::kPathRoute, ReadPathRoute,
              NameOf<PathRoute>, set.path_routes, faults);
  if (!faults.empty()) {
    return unexpected(std::move(faults));
  }
  return set;
}

}  // namespace tamarackwing::state
