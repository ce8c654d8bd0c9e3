#pragma once

#include <set>
#include <string>
#include <vector>

#include "region_table.h"
#include "tamarackwing/base/metrics.h"

namespace tamarackwing::daemon {

//! Tells operators of the spill plans. Not thread-safe.
class SpillLog {
 public:
  //! Sets the gauges of the plans and removes those of regions that are no
  //! longer in them, and logs each plan that moves work, or no longer does.
  //! Precondition: called once a second.
  void Publish(const std::vector<SpillReport>& reports, Metrics& metrics);

 private:
  //! Gauges that are set.
  std::set<std::string> gauges;
  //! Targets whose work was moved at the last call.
  std::set<std::string> moving;
};

}  // namespace tamarackwing::daemon
