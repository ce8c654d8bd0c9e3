#pragma once

#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! Returns whether `region` is in both lists. Thread safety: reentrant.
bool IsPermitted(const RegionName& region,
                 const std::vector<RegionName>& workspace_regions,
                 const std::vector<RegionName>& route_regions);

}  // namespace tamarackwing::policy
