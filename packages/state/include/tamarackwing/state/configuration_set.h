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

//! A tenant: its rate, its burst and where its data may be.
struct Workspace {
  WorkspaceName name;
  //! Tokens a second over all hosts together.
  TokenCount rate = 0;
  //! Tokens over all hosts together.
  TokenCount burst = 0;
  //! Its part of a full server against that of other workspaces.
  std::uint32_t weight = 1;
  //! Goes before the route's; zero is the most urgent, nothing leaves it to
  //! the route.
  std::optional<std::uint32_t> priority;
  //! What a request of a path route counts that does not say its tokens.
  TokenCount plain_tokens = 1;
  std::vector<RegionName> home_regions;
  ResidencyRuleName residency;

  friend bool operator==(const Workspace&, const Workspace&) = default;
};

//! A caller's key, by its digest.
struct Key {
  KeyDigest digest;
  WorkspaceName workspace;
  //! Regions that go on serving the key when they are cut off.
  std::vector<RegionName> home_regions;

  friend bool operator==(const Key&, const Key&) = default;
};

//! A version of a model that engines serve.
struct ModelVersion {
  ModelVersionName name;
  std::string model;

  friend bool operator==(const ModelVersion&, const ModelVersion&) = default;
};

//! What stands behind a route.
enum class RouteKind { kModel, kService };

//! A name that callers ask for.
struct Route {
  RouteName name;
  RouteKind kind = RouteKind::kModel;
  //! Whether a request may run more than once.
  bool idempotent = true;
  //! Whether callers need no key.
  bool open = false;
  //! The longest time to a whole answer, where the caller names no other.
  std::chrono::milliseconds deadline{0};
  //! Set for model routes.
  ModelVersionName model_version;
  //! The first one keeps the ledger of a route that is not idempotent.
  std::vector<RegionName> home_regions;
  ResidencyRuleName residency;

  friend bool operator==(const Route&, const Route&) = default;
};

//! The named objects that operators publish as one checked set.
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

//! The kinds of named objects.
enum class ObjectKind {
  kResidencyRule,
  kWorkspace,
  kKey,
  kModelVersion,
  kRoute,
  kService,
  kPathRoute,
};

//! One named object.
struct ObjectReference {
  ObjectKind kind = ObjectKind::kWorkspace;
  std::string name;

  friend auto operator<=>(const ObjectReference&,
                          const ObjectReference&) = default;
};

//! The objects that a change adds, replaces or removes.
struct SetDelta {
  std::vector<ResidencyRule> residency_rules;
  std::vector<Workspace> workspaces;
  std::vector<Key> keys;
  std::vector<ModelVersion> model_versions;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<PathRoute> path_routes;
  //! Absent where they stay as they are.
  std::optional<CallerLimits> caller_limits;
  std::vector<ObjectReference> removed;

  friend bool operator==(const SetDelta&, const SetDelta&) = default;
};

//! What leads from one set to another. Thread safety: reentrant.
SetDelta DiffSets(const ConfigurationSet& from, const ConfigurationSet& to);

//! Applies a change. Thread safety: as for `set`.
void ApplyDelta(const SetDelta& delta, ConfigurationSet& set);

//! The name of a kind, such as `workspaces`. Thread safety: reentrant.
std::string_view ObjectKindName(ObjectKind kind);

}  // namespace tamarackwing::state
