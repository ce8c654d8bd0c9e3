#include "tamarackwing/state/configuration_set.h"

#include <utility>

namespace tamarackwing::state {
namespace {

template <typename Name, typename Object>
void DiffObjects(ObjectKind kind,
                 const std::map<Name, Object>& from,
                 const std::map<Name, Object>& to,
                 std::vector<Object>& changed,
                 std::vector<ObjectReference>& removed) {
  for (const auto& [name, object] : to) {
    const auto old = from.find(name);
    if (old == from.end() || !(old->second == object)) {
      changed.push_back(object);
    }
  }
  for (const auto& [name, object] : from) {
    if (!to.contains(name)) {
      removed.push_back({kind, name.Text()});
    }
  }
}

template <typename Name, typename Object>
void Store(const std::vector<Object>& changed,
           std::map<Name, Object>& objects) {
  for (const Object& object : changed) {
    if constexpr (std::is_same_v<Object, Key>) {
      objects[object.digest] = object;
    } else {
      objects[object.name] = object;
    }
  }
}

void Remove(const ObjectReference& object, ConfigurationSet& set) {
  switch (object.kind) {
    case ObjectKind::kResidencyRule:
      set.residency_rules.erase(ResidencyRuleName(object.name));
      break;
    case ObjectKind::kWorkspace:
      set.workspaces.erase(WorkspaceName(object.name));
      break;
    case ObjectKind::kKey:
      set.keys.erase(KeyDigest(object.name));
      break;
    case ObjectKind::kModelVersion:
      set.model_versions.erase(ModelVersionName(object.name));
      break;
    case ObjectKind::kRoute:
      set.routes.erase(RouteName(object.name));
      break;
    case ObjectKind::kService:
      set.services.erase(ServiceName(object.name));
      break;
    case ObjectKind::kPathRoute:
      set.path_routes.erase(RouteName(object.name));
      break;
  }
}

}  // namespace

SetDelta DiffSets(const ConfigurationSet& from, const ConfigurationSet& to) {
  SetDelta delta;
  DiffObjects(ObjectKind::kResidencyRule, from.residency_rules,
              to.residency_rules, delta.residency_rules, delta.removed);
  DiffObjects(ObjectKind::kWorkspace, from.workspaces, to.workspaces,
              delta.workspaces, delta.removed);
  DiffObjects(ObjectKind::kKey, from.keys, to.keys, delta.keys, delta.removed);
  DiffObjects(ObjectKind::kModelVersion, from.model_versions, to.model_versions,
              delta.model_versions, delta.removed);
  DiffObjects(ObjectKind::kRoute, from.routes, to.routes, delta.routes,
              delta.removed);
  DiffObjects(ObjectKind::kService, from.services, to.services, delta.services,
              delta.removed);
  DiffObjects(ObjectKind::kPathRoute, from.path_routes, to.path_routes,
              delta.path_routes, delta.removed);
  if (!(from.caller_limits == to.caller_limits)) {
    delta.caller_limits = to.caller_limits;
  }
  return delta;
}

void ApplyDelta(const SetDelta& delta, ConfigurationSet& set) {
  for (const ObjectReference& object : delta.removed) {
    Remove(object, set);
  }
  Store(delta.residency_rules, set.residency_rules);
  Store(delta.workspaces, set.workspaces);
  Store(delta.keys, set.keys);
  Store(delta.model_versions, set.model_versions);
  Store(delta.routes, set.routes);
  Store(delta.services, set.services);
  Store(delta.path_routes, set.path_routes);
  if (delta.caller_limits) {
    set.caller_limits = *delta.caller_limits;
  }
}

std::string_view ObjectKindName(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kResidencyRule:
      return "residency_rules";
    case ObjectKind::kWorkspace:
      return "workspaces";
    case ObjectKind::kKey:
      return "keys";
    case ObjectKind::kModelVersion:
      return "model_versions";
    case ObjectKind::kRoute:
      return "routes";
    case ObjectKind::kService:
      return "services";
    case ObjectKind::kPathRoute:
      return "path_routes";
  }
  return "objects";
}

}  // namespace tamarackwing::state
