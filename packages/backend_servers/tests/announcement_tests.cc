#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <nlohmann/json.hpp>

#include "tamarackwing/backend_servers.h"

namespace tamarackwing::backend_servers {
namespace {

nlohmann::json Announcement() {
  return {{"name", "muscat-draft-1"},
          {"region", "muscat"},
          {"data_centre", "muscat-a"},
          {"address", "127.0.1.9"},
          {"port", 8000},
          {"targets", {"drafter@3"}},
          {"slots", 8},
          {"running", 2},
          {"queued", 0},
          {"age_ms", 100}};
}

TEST(AnnouncementTest, ParsesValidAnnouncement) {
  const auto report = ParseAnnouncement(Announcement().dump());
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report->slots, 8U);
  EXPECT_EQ(report->age, std::chrono::milliseconds(100));
  EXPECT_FALSE(report->leaving);
}

TEST(AnnouncementTest, RefusesFieldsOutOfRange) {
  for (const auto& [field, value] :
       std::map<std::string, nlohmann::json>{{"port", 0},
                                             {"slots", 0},
                                             {"running", -1},
                                             {"age_ms", -1},
                                             {"decode_rate", -2},
                                             {"name", ""}}) {
    nlohmann::json announcement = Announcement();
    announcement[field] = value;
    EXPECT_FALSE(ParseAnnouncement(announcement.dump()).has_value()) << field;
  }
}

RC_GTEST_PROP(AnnouncementTest, RefusesArbitraryBytes, (const std::string& b)) {
  RC_ASSERT(!ParseAnnouncement(b).has_value());
  RC_ASSERT(!ParseCacheEvents(b).has_value());
}

}  // namespace
}  // namespace tamarackwing::backend_servers
