#include "tamarackwing/policy/residency.h"

#include <algorithm>

namespace tamarackwing::policy {
namespace {

bool Contains(const std::vector<RegionName>& regions,
              const RegionName& region) {
  return std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

bool IsPermitted(const RegionName& region,
                 const std::vector<RegionName>& workspace_regions,
                 const std::vector<RegionName>& route_regions) {
  return Contains(workspace_regions, region) && Contains(route_regions, region);
}

}  // namespace tamarackwing::policy
