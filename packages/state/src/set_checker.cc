#include "tamarackwing/state/set_checker.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace tamarackwing::state {
namespace {

//! Validates one set and collects the errors.
class SetChecker {
 public:
  SetChecker(const ConfigurationSet& set,
             const Topology& topology,
             const std::set<KeyDigest>& withdrawn)
      : set(set), topology(topology), withdrawn(withdrawn) {}

  config::Faults Check() {
    for (const auto& [name, rule] : this->set.residency_rules) {
      this->CheckRegions("residency_rules." + name.Text() + ".regions",
                         rule.regions);
    }
    for (const auto& [name, workspace] : this->set.workspaces) {
      this->CheckWorkspace(workspace);
    }
    for (const auto& [digest, key] : this->set.keys) {
      this->CheckKey(key);
    }
    for (const auto& [name, route] : this->set.routes) {
      this->CheckRoute(route);
    }
    config::Faults path_faults = CheckPathObjects(this->set);
    std::move(path_faults.begin(), path_faults.end(),
              std::back_inserter(this->faults));
    return std::move(this->faults);
  }

  config::Faults CheckChanged(const SetDelta& delta) {
    for (const Workspace& workspace : delta.workspaces) {
      this->CheckWorkspace(workspace);
    }
    for (const Key& key : delta.keys) {
      this->CheckKey(key);
    }
    for (const Route& route : delta.routes) {
      this->CheckRoute(route);
    }
    return std::move(this->faults);
  }

 private:
  void AddFault(config::FaultCode code, std::string path, std::string found) {
    this->faults.push_back({code, std::move(path), 0, std::move(found)});
  }

  void CheckRegions(const std::string& path,
                    const std::vector<RegionName>& regions) {
    for (const RegionName& region : regions) {
      if (!this->topology.regions.contains(region)) {
        this->AddFault(config::FaultCode::kUnknownRegion, path, region.Text());
      }
    }
  }

  void CheckResidency(const std::string& path,
                      const ResidencyRuleName& residency,
                      const std::vector<RegionName>& home_regions) {
    const auto rule = this->set.residency_rules.find(residency);
    if (rule == this->set.residency_rules.end()) {
      this->AddFault(config::FaultCode::kUnknownReference, path + ".residency",
                     residency.Text());
      return;
    }
    for (const RegionName& home : home_regions) {
      const auto& allowed = rule->second.regions;
      if (std::find(allowed.begin(), allowed.end(), home) == allowed.end()) {
        this->AddFault(config::FaultCode::kNoCommonRegion,
                       path + ".home_regions", home.Text());
      }
    }
  }

  void CheckWorkspace(const Workspace& workspace) {
    const std::string path = "workspaces." + workspace.name.Text();
    this->CheckRegions(path + ".home_regions", workspace.home_regions);
    this->CheckResidency(path, workspace.residency, workspace.home_regions);
  }

  void CheckKey(const Key& key) {
    const std::string path = "keys." + key.digest.Text();
    if (!this->set.workspaces.contains(key.workspace)) {
      this->AddFault(config::FaultCode::kUnknownReference, path + ".workspace",
                     key.workspace.Text());
    }
    if (this->withdrawn.contains(key.digest)) {
      this->AddFault(config::FaultCode::kKeyWithdrawn, path, key.digest.Text());
    }
    this->CheckRegions(path + ".home_regions", key.home_regions);
  }

  void CheckRoute(const Route& route) {
    const std::string path = "routes." + route.name.Text();
    this->CheckRegions(path + ".home_regions", route.home_regions);
    this->CheckResidency(path, route.residency, route.home_regions);
    if (route.kind == RouteKind::kModel &&
        !this->set.model_versions.contains(route.model_version)) {
      this->AddFault(config::FaultCode::kUnknownReference,
                     path + ".model_version", route.model_version.Text());
    }
    if (!route.idempotent && !route.home_regions.empty() &&
        !this->topology.disk_regions.contains(route.home_regions.front())) {
      this->AddFault(config::FaultCode::kNoDiskHost, path + ".home_regions",
                     route.home_regions.front().Text());
    }
  }

  const ConfigurationSet& set;
  const Topology& topology;
  const std::set<KeyDigest>& withdrawn;
  config::Faults faults;
};

void CheckShares(const ConfigurationSet& set,
                 const PathRoute& route,
                 config::Faults& faults) {
  const std::string path = "path_routes." + route.name.Text();
  std::uint64_t weights = 0;
  for (const ServiceShare& share : route.services) {
    weights += share.weight;
    if (!set.services.contains(share.service)) {
      faults.push_back({config::FaultCode::kUnknownReference,
                        path + ".services", 0, share.service.Text()});
    }
  }
  if (weights == 0) {
    faults.push_back(
        {config::FaultCode::kOutOfRange, path + ".services", 0, "0"});
  }
}

}  // namespace

config::Faults CheckPathObjects(const ConfigurationSet& set) {
  config::Faults faults;
  std::set<std::pair<std::string, std::string>> prefixes;
  for (const auto& [name, route] : set.path_routes) {
    const std::string path = "path_routes." + name.Text();
    CheckShares(set, route, faults);
    if (!prefixes.emplace(route.authority, route.prefix).second) {
      faults.push_back({config::FaultCode::kDuplicateName, path + ".prefix", 0,
                        route.prefix});
    }
    if (route.timeout.count() <= 0) {
      faults.push_back(
          {config::FaultCode::kOutOfRange, path + ".timeout", 0, "0"});
    }
    if (route.prefix.empty() || route.prefix.front() != '/' ||
        route.prefix.back() != '/') {
      faults.push_back(
          {config::FaultCode::kOutOfRange, path + ".prefix", 0, route.prefix});
    }
    if (!set.residency_rules.contains(route.residency)) {
      faults.push_back({config::FaultCode::kUnknownReference,
                        path + ".residency", 0, route.residency.Text()});
    }
  }
  return faults;
}

config::Faults CheckSet(const ConfigurationSet& set,
                        const Topology& topology,
                        const std::set<KeyDigest>& withdrawn) {
  return SetChecker(set, topology, withdrawn).Check();
}

config::Faults CheckDelta(const ConfigurationSet& set,
                          const SetDelta& delta,
                          const Topology& topology,
                          const std::set<KeyDigest>& withdrawn) {
  // A narrowed rule or a removed object can invalidate objects that are not in
  // the delta.
  const bool only_adds = delta.removed.empty() &&
                         delta.residency_rules.empty() &&
                         delta.services.empty() && delta.path_routes.empty();
  SetChecker checker(set, topology, withdrawn);
  return only_adds ? checker.CheckChanged(delta) : checker.Check();
}

}  // namespace tamarackwing::state
