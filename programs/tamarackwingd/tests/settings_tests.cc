#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "settings.h"

namespace tamarackwing::daemon {
namespace {

constexpr const char* kValidSettings = R"(
name = "muscat-1"
region = "muscat"
data_centre = "muscat-a"
cluster_secret = "s"
[callers]
address = "127.0.0.1"
port = 1
[backend_servers]
address = "127.0.0.1"
port = 2
[operators]
address = "127.0.0.1"
port = 3
[[hosts]]
name = "muscat-1"
region = "muscat"
data_centre = "muscat-a"
caller_address = "127.0.0.1"
caller_port = 1
peer_address = "127.0.0.1"
peer_port = 4
forward_port = 5
disk = true
voter = true
)";

TEST(Settings, ParsesCompleteDocument) {
  const auto settings = ParseSettings(kValidSettings);
  ASSERT_TRUE(settings.has_value());
  EXPECT_EQ(settings->voters.size(), 1U);
  EXPECT_EQ(settings->callers.port, 1);
}

TEST(Settings, ReadsTheSpilloverOfTheSchedulingTable) {
  const auto defaults = ParseSettings(kValidSettings);
  EXPECT_FALSE(defaults->gateway.scheduling.spill_ahead);
  EXPECT_EQ(defaults->gateway.scheduling.prefill_tokens_per_s, 30'000);
  const auto settings = ParseSettings(std::string(kValidSettings) +
                                      "[scheduling]\nspill_ahead = true\n"
                                      "prefill_tokens_per_s = 0\n");
  ASSERT_TRUE(settings.has_value());
  EXPECT_TRUE(settings->gateway.scheduling.spill_ahead);
  // A rate of zero would make every call infinite work.
  EXPECT_EQ(settings->gateway.scheduling.prefill_tokens_per_s, 1);
}

TEST(Settings, ReportsEveryErrorWithItsPathAndLine) {
  const auto settings = ParseSettings(
      "name = \"x\"\nregion = 3\ncolour = \"red\"\n[callers]\nport = 70000\n");
  ASSERT_FALSE(settings.has_value());
  const auto has = [&](config::FaultCode code, const std::string& path,
                       std::uint32_t line) {
    for (const config::Fault& fault : settings.error()) {
      if (fault.code == code && fault.path == path && fault.line == line) {
        return true;
      }
    }
    return false;
  };
  EXPECT_TRUE(has(config::FaultCode::kWrongType, "region", 2));
  EXPECT_TRUE(has(config::FaultCode::kUnknownField, "colour", 3));
  EXPECT_TRUE(has(config::FaultCode::kOutOfRange, "callers.port", 5));
}

TEST(Settings, VotersFollowFromToleratedLosses) {
  const std::string membership =
      std::string(kValidSettings) +
      "[membership]\nseeds = [\"127.0.0.1:9\"]\npeer_port = 4\n";
  EXPECT_EQ(ParseSettings(membership)->membership.voters, 5U);
  EXPECT_EQ(
      ParseSettings(membership + "tolerated_losses = 1\n")->membership.voters,
      5U);
  EXPECT_EQ(
      ParseSettings(membership + "tolerated_losses = 2\n")->membership.voters,
      7U);
  EXPECT_FALSE(ParseSettings(membership + "tolerated_losses = -1\n"));
}

TEST(Settings, HostStartsWithStatedLimitsThatHaveFractions) {
  const auto settings = ParseSettings(
      std::string(kValidSettings) +
      "[limits]\nfleet_retries = 36.47\nrate_tolerance_tokens = 109999.9\n"
      "rate_tolerance_span_s = 8.5\n"
      "[times]\nkey_withdrawn_ms = 5000.9\nstop_grace_s = 8.75\n");
  ASSERT_TRUE(settings.has_value()) << settings.error().front().path;
  EXPECT_EQ(settings->fleet_retries, 36U);
  EXPECT_EQ(settings->rate_tolerance.tokens, 109'999);
  EXPECT_EQ(settings->rate_tolerance.span, std::chrono::seconds(8));
  EXPECT_EQ(settings->times.key_freshness, std::chrono::milliseconds(4'000));
  EXPECT_EQ(settings->drain_limit, std::chrono::milliseconds(7'500));
}

TEST(Settings, RejectsFractionsOutOfRangeAndOfCounts) {
  for (const char* field :
       {"fleet_retries = -0.5", "fleet_retries = nan", "fleet_retries = inf",
        "fleet_retries = 1e300", "connections = 10.5"}) {
    const auto settings = ParseSettings(std::string(kValidSettings) +
                                        "[limits]\n" + field + "\n");
    EXPECT_FALSE(settings.has_value()) << field;
  }
}

RC_GTEST_PROP(Settings, RejectsArbitraryBytes, (const std::string& bytes)) {
  RC_ASSERT(!ParseSettings(bytes).has_value());
}

}  // namespace
}  // namespace tamarackwing::daemon
