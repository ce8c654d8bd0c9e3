#include "tamarackwing/gateway/authorizer.h"

#include <algorithm>

#include "tamarackwing/policy/residency.h"

namespace tamarackwing::gateway {
namespace {

const std::vector<RegionName>* RegionsOf(const state::ConfigurationSet& set,
                                         const state::ResidencyRuleName& name) {
  const auto rule = set.residency_rules.find(name);
  return rule == set.residency_rules.end() ? nullptr : &rule->second.regions;
}

bool IsHome(const std::vector<RegionName>& regions, const RegionName& region) {
  return std::find(regions.begin(), regions.end(), region) != regions.end();
}

//! Returns whether the residency rules of the workspace and of a route allow
//! `region`.
bool MayRunUnder(const state::Snapshot& snapshot,
                 const WorkspaceName& workspace,
                 const state::ResidencyRuleName& residency,
                 bool open,
                 const RegionName& region) {
  const auto* route_regions = RegionsOf(*snapshot.set, residency);
  if (route_regions == nullptr) {
    return false;
  }
  if (workspace.IsEmpty()) {
    return open && policy::IsPermitted(region, *route_regions, *route_regions);
  }
  const auto found = snapshot.set->workspaces.find(workspace);
  if (found == snapshot.set->workspaces.end()) {
    return false;
  }
  const auto* workspace_regions =
      RegionsOf(*snapshot.set, found->second.residency);
  return workspace_regions != nullptr &&
         policy::IsPermitted(region, *workspace_regions, *route_regions);
}

}  // namespace

Expected<Grant, RefusalCode> AuthorizeKey(const state::Snapshot& snapshot,
                                          const KeyDigest& key,
                                          const RegionName& region,
                                          TimePoint now) {
  if (!snapshot.ready) {
    return unexpected(RefusalCode::kNotReady);
  }
  if (snapshot.withdrawn->contains(key)) {
    return unexpected(RefusalCode::kKeyWithdrawn);
  }
  const auto found = snapshot.set->keys.find(key);
  if (found == snapshot.set->keys.end()) {
    return unexpected(RefusalCode::kKeyInvalid);
  }
  const state::Key& entry = found->second;
  if (now > snapshot.keys_fresh_until && !IsHome(entry.home_regions, region)) {
    return unexpected(RefusalCode::kKeyNotFresh);
  }
  const auto workspace = snapshot.set->workspaces.find(entry.workspace);
  if (workspace == snapshot.set->workspaces.end()) {
    return unexpected(RefusalCode::kKeyInvalid);
  }
  return Grant{entry.workspace, key, workspace->second.weight};
}

Expected<const state::Route*, RefusalCode> FindRoute(
    const state::Snapshot& snapshot,
    const RouteName& route) {
  if (!snapshot.ready) {
    return unexpected(RefusalCode::kNotReady);
  }
  const auto found = snapshot.set->routes.find(route);
  if (found == snapshot.set->routes.end()) {
    return unexpected(RefusalCode::kUnknownRoute);
  }
  return &found->second;
}

bool MayRunIn(const state::Snapshot& snapshot,
              const WorkspaceName& workspace,
              const state::Route& route,
              const RegionName& region) {
  return MayRunUnder(snapshot, workspace, route.residency, route.open, region);
}

bool MayRunIn(const state::Snapshot& snapshot,
              const WorkspaceName& workspace,
              const state::PathRoute& route,
              const RegionName& region) {
  return MayRunUnder(snapshot, workspace, route.residency, route.open, region);
}

}  // namespace tamarackwing::gateway
