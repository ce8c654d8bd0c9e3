#include "spill_log.h"

#include <gtest/gtest.h>

namespace tamarackwing::daemon {
namespace {

//! A region that is left out must not look as if it still took work.
TEST(SpillLog, RemovesTheGaugesOfRegionsThatAreLeftOut) {
  const RegionName own("brno");
  const RegionName other("plzen");
  const std::string share =
      "tamarackwing_spill_share{target=\"drafter\",region=\"plzen\"}";
  Metrics metrics;
  SpillLog log;
  SpillReport report;
  report.target = "drafter";
  report.regions = {{own, 900, 800, 700, {}}, {other, 10, 10, 500, {}}};
  report.shares = {{other, 250}};
  log.Publish({report}, metrics);
  EXPECT_NE(metrics.Render().find(share + " 250"), std::string::npos);
  EXPECT_NE(metrics.Render().find("tamarackwing_region_capacity{target="
                                  "\"drafter\",region=\"plzen\"} 500"),
            std::string::npos);
  report.regions.pop_back();
  report.shares.clear();
  log.Publish({report}, metrics);
  EXPECT_EQ(metrics.Render().find(share), std::string::npos);
  EXPECT_NE(metrics.Render().find("tamarackwing_region_offered_work{target="
                                  "\"drafter\",region=\"brno\"} 900"),
            std::string::npos);
}

}  // namespace
}  // namespace tamarackwing::daemon
