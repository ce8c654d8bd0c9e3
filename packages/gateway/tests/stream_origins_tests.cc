//! Tests of what a host remembers of where streams began.

#include "tamarackwing/gateway/stream_origins.h"

#include <gtest/gtest.h>

namespace tamarackwing::gateway {
namespace {

const policy::StreamOrigin kOrigin{1, 2, RegionName("muscat")};
const policy::StreamOrigin kOther{1, 3, RegionName("sohar")};

class StreamOriginsTest : public testing::Test {
 protected:
  std::optional<policy::StreamOrigin> Find(std::uint64_t stream) {
    std::optional<policy::StreamOrigin> found;
    this->origins.Find(stream, [&](auto origin) { found = origin; });
    return found;
  }

  ManualClock clock;
  StreamOrigins origins{this->clock};
};

TEST_F(StreamOriginsTest, StreamOfThisHostIsKnownAndToldToItsKeepers) {
  std::vector<std::uint64_t> told;
  this->origins.SetKeepers(
      {[&](const policy::StreamBegun& begun) { told.push_back(begun.stream); },
       nullptr});
  this->origins.NoteBegun(7, kOrigin);
  EXPECT_EQ(told, std::vector<std::uint64_t>({7}));
  EXPECT_EQ(this->Find(7), kOrigin);
}

TEST_F(StreamOriginsTest, KeepersAreAskedAboutUnknownStreamsOnly) {
  int asked = 0;
  this->origins.SetKeepers(
      {nullptr, [&](std::uint64_t, const StreamOrigins::Callback& callback) {
         asked += 1;
         callback(kOther);
       }});
  this->origins.Keep({7, kOrigin});
  EXPECT_EQ(this->Find(7), kOrigin);
  EXPECT_EQ(asked, 0);
  EXPECT_EQ(this->Find(8), kOther);
  EXPECT_EQ(asked, 1);
}

TEST_F(StreamOriginsTest, FirstWordAboutAStreamStands) {
  this->origins.Keep({7, kOrigin});
  this->origins.Keep({7, kOther});
  EXPECT_EQ(this->Find(7), kOrigin);
}

TEST_F(StreamOriginsTest, StreamsOfTwoWorkspacesDiffer) {
  EXPECT_NE(DigestStream(WorkspaceName("huka"), "a1"),
            DigestStream(WorkspaceName("voje"), "a1"));
}

TEST_F(StreamOriginsTest, StreamThatGoesOnIsNotForgotten) {
  for (int i = 0; i < 10; ++i) {
    this->origins.Keep({7, kOrigin});
    this->origins.Keep({100U + static_cast<std::uint64_t>(i), kOther});
    this->clock.Advance(StreamOrigins::kLife / 2);
  }
  EXPECT_EQ(this->Find(7), kOrigin);
  EXPECT_FALSE(this->Find(100).has_value());
  EXPECT_LE(this->origins.Size(), 4U);
}

TEST_F(StreamOriginsTest, MemoryIsBoundedByNumberAndTime) {
  for (std::uint64_t i = 0; i < StreamOrigins::kMaxStreams + 100; ++i) {
    this->origins.Keep({i, kOrigin});
  }
  EXPECT_EQ(this->origins.Size(), StreamOrigins::kMaxStreams);
  this->clock.Advance(std::chrono::minutes(5));
  this->origins.Keep({1'000'000, kOrigin});
  EXPECT_EQ(this->origins.Size(), 1U);
}

}  // namespace
}  // namespace tamarackwing::gateway
