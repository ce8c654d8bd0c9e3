#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>

#include "tamarackwing/base/strong_id.h"
#include "tamarackwing/state/configuration_set.h"
#include "tamarackwing/state/control_change.h"
#include "tamarackwing/state/host_record.h"
#include "tamarackwing/state/region_view.h"

namespace nlohmann {

template <typename Tag>
struct adl_serializer<tamarackwing::StrongId<Tag>> {
  static void to_json(json& out, const tamarackwing::StrongId<Tag>& id) {
    out = id.Text();
  }
  static void from_json(const json& in, tamarackwing::StrongId<Tag>& id) {
    id = tamarackwing::StrongId<Tag>(in.get<std::string>());
  }
};

template <>
struct adl_serializer<std::chrono::milliseconds> {
  static void to_json(json& out, const std::chrono::milliseconds& time) {
    out = time.count();
  }
  static void from_json(const json& in, std::chrono::milliseconds& time) {
    time = std::chrono::milliseconds(in.get<std::int64_t>());
  }
};

template <typename Value>
struct adl_serializer<std::optional<Value>> {
  static void to_json(json& out, const std::optional<Value>& value) {
    out = value ? json(*value) : json();
  }
  static void from_json(const json& in, std::optional<Value>& value) {
    value = in.is_null() ? std::nullopt : std::optional(in.get<Value>());
  }
};

}  // namespace nlohmann

namespace tamarackwing::state {

// Log entries and snapshots store these members under their C++ names, so
// renaming a member changes the stored format.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ResidencyRule, name, regions)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Workspace,
                                   name,
                                   rate,
                                   burst,
                                   weight,
                                   priority,
                                   plain_tokens,
                                   home_regions,
                                   residency)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Key, digest, workspace, home_regions)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ModelVersion, name, model)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Route,
                                   name,
                                   kind,
                                   idempotent,
                                   open,
                                   deadline,
                                   model_version,
                                   home_regions,
                                   residency)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Service,
                                   name,
                                   connection_limit,
                                   warmup,
                                   warmup_per_kilosecond,
                                   engine_slots,
                                   engine_tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceShare, service, weight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PathRoute,
                                   name,
                                   authority,
                                   prefix,
                                   kind,
                                   open,
                                   resumable,
                                   timeout,
                                   target_latency,
                                   target_gap,
                                   priority,
                                   most_tries,
                                   services,
                                   residency)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallerLimits,
                                   head_bytes,
                                   body_bytes,
                                   head_timeout,
                                   idle_timeout)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationSet,
                                   residency_rules,
                                   workspaces,
                                   keys,
                                   model_versions,
                                   routes,
                                   services,
                                   path_routes,
                                   caller_limits)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ObjectReference, kind, name)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SetDelta,
                                   residency_rules,
                                   workspaces,
                                   keys,
                                   model_versions,
                                   routes,
                                   services,
                                   path_routes,
                                   caller_limits,
                                   removed)
inline void to_json(nlohmann::json& out, const HostRecord& host) {
  out = {{"name", host.name},
         {"region", host.region},
         {"data_centre", host.data_centre},
         {"caller_address", host.caller_address},
         {"caller_port", host.caller_port},
         {"peer_address", host.peer_address},
         {"peer_port", host.peer_port},
         {"forward_port", host.forward_port},
         {"has_disk", host.has_disk},
         {"incarnation", host.incarnation},
         {"draining", host.draining},
         {"reads_format", host.reads_format}};
}
inline void from_json(const nlohmann::json& in, HostRecord& host) {
  in.at("name").get_to(host.name);
  in.at("region").get_to(host.region);
  in.at("data_centre").get_to(host.data_centre);
  in.at("caller_address").get_to(host.caller_address);
  in.at("caller_port").get_to(host.caller_port);
  in.at("peer_address").get_to(host.peer_address);
  in.at("peer_port").get_to(host.peer_port);
  in.at("forward_port").get_to(host.forward_port);
  in.at("has_disk").get_to(host.has_disk);
  in.at("incarnation").get_to(host.incarnation);
  in.at("draining").get_to(host.draining);
  // Records of older builds lack it.
  host.reads_format = in.value("reads_format", std::uint32_t{0});
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ViewMember, host, incarnation, has_disk)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RegionView,
                                   region,
                                   epoch,
                                   base_epoch,
                                   coordinator,
                                   members)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PublishSet, id, base, delta)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GrantKey, id, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WithdrawKeys, digests)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PutHost, host)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemoveHost, host)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DrainHost, host, draining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PutRegionView, view)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfirmVersion, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SetLiveHosts, region, hosts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReplaceSet, number, document, set)
inline void to_json(nlohmann::json& out, const CloseDataCentre& change) {
  out = {{"data_centre", change.data_centre}, {"closed", change.closed}};
  if (change.revision) {
    out["revision"] = *change.revision;
  }
}
inline void from_json(const nlohmann::json& in, CloseDataCentre& change) {
  in.at("data_centre").get_to(change.data_centre);
  in.at("closed").get_to(change.closed);
  const auto revision = in.find("revision");
  if (revision != in.end()) {
    change.revision = revision->get<LogIndex>();
  }
}

}  // namespace tamarackwing::state
