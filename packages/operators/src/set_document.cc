#include "set_document.h"

#include <string>
#include <vector>

namespace tamarackwing::operators {
namespace {

using nlohmann::ordered_json;

std::vector<std::string> RegionNames(const std::vector<RegionName>& regions) {
  std::vector<std::string> names;
  for (const RegionName& region : regions) {
    names.push_back(region.Text());
  }
  return names;
}

}  // namespace

ordered_json SetDocument(const state::ConfigurationSet& set) {
  ordered_json document;
  for (const auto& [name, rule] : set.residency_rules) {
    document["residency_rules"].push_back(
        {{"name", name.Text()}, {"regions", RegionNames(rule.regions)}});
  }
  for (const auto& [name, workspace] : set.workspaces) {
    document["workspaces"].push_back(
        {{"name", name.Text()},
         {"rate", workspace.rate},
         {"burst", workspace.burst},
         {"weight", workspace.weight},
         {"home_regions", RegionNames(workspace.home_regions)},
         {"residency", workspace.residency.Text()}});
  }
  for (const auto& [digest, key] : set.keys) {
    document["keys"].push_back(
        {{"digest", digest.Text()},
         {"workspace", key.workspace.Text()},
         {"home_regions", RegionNames(key.home_regions)}});
  }
  for (const auto& [name, version] : set.model_versions) {
    document["model_versions"].push_back(
        {{"name", name.Text()}, {"model", version.model}});
  }
  for (const auto& [name, route] : set.routes) {
    const bool is_model = route.kind == state::RouteKind::kModel;
    ordered_json entry = {{"name", name.Text()},
                          {"kind", is_model ? "model" : "service"},
                          {"idempotent", route.idempotent},
                          {"open", route.open},
                          {"deadline_ms", route.deadline.count()},
                          {"home_regions", RegionNames(route.home_regions)},
                          {"residency", route.residency.Text()}};
    if (is_model) {
      entry["model_version"] = route.model_version.Text();
    }
    document["routes"].push_back(std::move(entry));
  }
  return document;
}

ordered_json FaultDocument(const config::Faults& faults) {
  ordered_json list = ordered_json::array();
  for (const config::Fault& fault : faults) {
    list.push_back({{"code", config::FaultName(fault.code)},
                    {"path", fault.path},
                    {"line", fault.line},
                    {"found", fault.found}});
  }
  return list;
}

}  // namespace tamarackwing::operators
