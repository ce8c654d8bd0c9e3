#include "event_splitter.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace tamarackwing::gateway {
namespace {

TEST(EventSplitter, HoldsEventUntilComplete) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.Add("data: a\n"), "");
  EXPECT_EQ(splitter.Add("\ndata: b"), "data: a\n\n");
  EXPECT_EQ(splitter.Events(), 1U);
  splitter.DropRest();
  EXPECT_EQ(splitter.RestBytes(), 0U);
}

TEST(EventSplitter, KnowsWhetherItStandsInsideAnEvent) {
  EventSplitter splitter;
  EXPECT_TRUE(splitter.IsBetweenEvents());
  splitter.Add("data: a\n");
  EXPECT_FALSE(splitter.IsBetweenEvents());
  splitter.Add("\n\n");
  EXPECT_TRUE(splitter.IsBetweenEvents());
}

TEST(EventSplitter, EventsMayEndWithCarriageReturns) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.Add("data: a\r\n\r"), "");
  EXPECT_EQ(splitter.Add("\ndata: b\r\n\r\nid"),
            "data: a\r\n\r\ndata: b\r\n\r\n");
  EXPECT_EQ(splitter.Events(), 2U);
}

RC_GTEST_PROP(EventSplitter, AnySplitOfStreamGivesSameEvents, ()) {
  std::string stream;
  const int events = *rc::gen::inRange(0, 10);
  for (int i = 0; i < events; ++i) {
    stream += "data: " + std::to_string(i) + "\n\n";
  }
  EventSplitter splitter;
  std::string out;
  std::size_t at = 0;
  while (at < stream.size()) {
    const auto length = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
    out += splitter.Add(std::string_view(stream).substr(at, length));
    at += length;
  }
  RC_ASSERT(out == stream);
  RC_ASSERT(splitter.Events() == static_cast<std::uint64_t>(events));
}

}  // namespace
}  // namespace tamarackwing::gateway
