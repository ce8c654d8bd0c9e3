#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/state/caller_limits.h"
#include "tamarackwing/state/path_route.h"
#include "tamarackwing/state/residency_rule.h"
#include "tamarackwing/state/service.h"

namespace tamarackwing::state {

using ModelVersionName = StrongId<struct ModelVersionNameTag>;

//! A workspace: its token rate and burst, its priority and where its data may
//! be processed.
struct Workspace {
  WorkspaceName name;
  //! Tokens per second, over all hosts.
  TokenCount rate = 0;
  //! Tokens, over all hosts.
  TokenCount burst = 0;
  //! This workspace's weight when workspaces share a fully loaded server.
  std::uint32_t weight = 1;
  //! Overrides the priority of the route; zero is the highest. If absent, the
  //! route's priority applies.
  std::optional<std::uint32_t> priority;
  //! Tokens charged for a path route's request whose caller gives no token
  //! counts.
  TokenCount plain_tokens = 1;
  std::vector<RegionName> home_regions;
  ResidencyRuleName residency;

  friend bool operator==(const Workspace&, const Workspace&) = default;
};

//! A caller's key, identified by its digest.
struct Key {
  KeyDigest digest;
  WorkspaceName workspace;
  //! Regions that continue to serve the key while they are partitioned.
  std::vector<RegionName> home_regions;

  friend bool operator==(const Key&, const Key&) = default;
};

//! A version of a model, as served by engines.
struct ModelVersion {
  ModelVersionName name;
  std::string model;

  friend bool operator==(const ModelVersion&, const ModelVersion&) = default;
};

//! Kind of a route's backend.
enum class RouteKind { kModel, kService };

//! A named target of callers' requests.
struct Route {
  RouteName name;
  RouteKind kind = RouteKind::kModel;
  //! Whether a request may run more than once; if not, the operation ledger
  //! ensures that it runs at most once.
  bool idempotent = true;
  //! Whether callers may send requests without a key.
  bool open = false;
  //! Maximum time to the complete response, unless the caller sets another.
  std::chrono::milliseconds deadline{0};
  //! Set for model routes only.
  ModelVersionName model_version;
  //! The first region holds the operation ledger of a route that is not
  //! idempotent.
  std::vector<RegionName> home_regions;
  ResidencyRuleName residency;

  friend bool operator==(const Route&, const Route&) = default;
};

//! The named objects that operators publish together and that are validated as
//! a unit.
struct ConfigurationSet {
  std::map<ResidencyRuleName, ResidencyRule> residency_rules;
  std::map<WorkspaceName, Workspace> workspaces;
  std::map<KeyDigest, Key> keys;
  std::map<ModelVersionName, ModelVersion> model_versions;
  std::map<RouteName, Route> routes;
  std::map<ServiceName, Service> services;
  std::map<RouteName, PathRoute> path_routes;
  CallerLimits caller_limits;

  friend bool operator==(const ConfigurationSet&,
                         const ConfigurationSet&) = default;
};

//! Kind of a named object.
enum class ObjectKind {
  kResidencyRule,
  kWorkspace,
  kKey,
  kModelVersion,
  kRoute,
  kService,
  kPathRoute,
};

//! Identifies a named object.
struct ObjectReference {
  ObjectKind kind = ObjectKind::kWorkspace;
  std::string name;

  friend auto operator<=>(const ObjectReference&,
                          const ObjectReference&) = default;
};

//! Objects that a change adds, replaces or removes.
struct SetDelta {
  std::vector<ResidencyRule> residency_rules;
  std::vector<Workspace> workspaces;
  std::vector<Key> keys;
  std::vector<ModelVersion> model_versions;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<PathRoute> path_routes;
  //! Absent if unchanged.
  std::optional<CallerLimits> caller_limits;
  std::vector<ObjectReference> removed;

  friend bool operator==(const SetDelta&, const SetDelta&) = default;
};

//! Returns the changes that turn `from` into `to`. Thread safety: reentrant.
SetDelta DiffSets(const ConfigurationSet& from, const ConfigurationSet& to);

//! Applies `delta` to `set`; removals come first. Thread safety: as for `set`.
void ApplyDelta(const SetDelta& delta, ConfigurationSet& set);

//! Returns the TOML name of a kind, such as `workspaces`.
//! Thread safety: reentrant.
std::string_view ObjectKindName(ObjectKind kind);

}  // namespace tamarackwing::state
