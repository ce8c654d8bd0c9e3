#pragma once

#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::state {

using ResidencyRuleName = StrongId<struct ResidencyRuleNameTag>;

//! The regions in which data under this rule may be processed.
struct ResidencyRule {
  ResidencyRuleName name;
  std::vector<RegionName> regions;

  friend bool operator==(const ResidencyRule&, const ResidencyRule&) = default;
};

}  // namespace tamarackwing::state
