#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "tamarackwing/base.h"

namespace tamarackwing {
namespace {

TEST(TraceContext, WellFormedTraceparentRoundTrips) {
  const std::string header =
      "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  const auto context = ParseTraceparent(header);
  ASSERT_TRUE(context.has_value());
  EXPECT_EQ(FormatTraceparent(*context), header);
}

TEST(TraceContext, RejectsMalformedTraceparentAndStartsNewTrace) {
  EXPECT_FALSE(ParseTraceparent("00-zz").has_value());
  EXPECT_FALSE(ParseTraceparent(
                   "00-00000000000000000000000000000000-00f067aa0ba902b7-01")
                   .has_value());
  SeededRandom random(1);
  EXPECT_EQ(StartTrace(std::nullopt, random).trace_id.size(), 32U);
}

TEST(Digest, OperationsOfDifferentWorkspacesHaveDifferentDigests) {
  const RouteName route("booking");
  EXPECT_NE(DigestOperation(WorkspaceName("a"), route, "bk"),
            DigestOperation(WorkspaceName("ab"), route, "k"));
}

TEST(Digest, Sha256OfAbcMatchesPublishedVector) {
  EXPECT_EQ(Sha256Hex("abc"),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(Event, EventsPageListsExactlyTheNamedEvents) {
  const std::ifstream file(TAMARACKWING_EVENTS_PAGE);
  std::ostringstream text;
  text << file.rdbuf();
  const std::string page = text.str();
  constexpr int kFirst = 1'000;
  constexpr int kLast = 6'000;
  std::size_t named = 0;
  for (int number = kFirst; number < kLast; ++number) {
    const std::string row = "| " + std::to_string(number) + " | ";
    const std::string_view name = EventName(static_cast<Event>(number));
    const bool is_listed = page.find(row) != std::string::npos;
    EXPECT_EQ(is_listed, name != "unknown") << number;
    if (is_listed) {
      EXPECT_NE(page.find(row + std::string(name) + " |"), std::string::npos)
          << number;
      named += 1;
    }
  }
  EXPECT_GT(named, 20U);
}

TEST(Refusal, EveryCodeHasNameAndErrorStatus) {
  for (int i = 0; i <= static_cast<int>(RefusalCode::kUnknownRoute); ++i) {
    const auto code = static_cast<RefusalCode>(i);
    EXPECT_FALSE(RefusalName(code).empty());
    EXPECT_GE(RefusalStatus(code), 400U);
  }
}

TEST(Metrics, RendersCountersAndDistributions) {
  Metrics metrics;
  metrics.Count("requests_total", 3);
  metrics.Record("first_byte_seconds", std::chrono::milliseconds(5));
  const std::string text = metrics.Render();
  EXPECT_NE(text.find("requests_total 3"), std::string::npos);
  EXPECT_NE(text.find("first_byte_seconds_count 1"), std::string::npos);
}

// Guards against a value that its host no longer knows and still reports.
TEST(Metrics, RemovedGaugeIsNotRenderedUntilItIsSetAgain) {
  Metrics metrics;
  metrics.Remove("voters_lost");
  metrics.Set("voters_lost", 2);
  metrics.Set("voters", 5);
  metrics.Remove("voters_lost");
  EXPECT_EQ(metrics.Render(), "voters 5\n");
  metrics.Set("voters_lost", 1);
  EXPECT_EQ(metrics.Render(), "voters 5\nvoters_lost 1\n");
}

}  // namespace
}  // namespace tamarackwing
