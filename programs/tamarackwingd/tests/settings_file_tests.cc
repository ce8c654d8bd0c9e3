#include "settings_file.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::daemon {
namespace {

class SettingsFileTest : public testing::Test {
 protected:
  SettingsFileTest()
      : path(testing::TempDir() + "tamarackwing-settings-file.toml"),
        file(path, clock) {}
  ~SettingsFileTest() override { std::filesystem::remove(this->path); }

  void Write(const std::string& text) { std::ofstream(this->path) << text; }

  ManualClock clock;
  std::string path;
  SettingsFile file;
};

TEST_F(SettingsFileTest, ReadIfChangedReturnsAChangeOnce) {
  this->Write("name = \"a\"");
  EXPECT_EQ(this->file.Read(), "name = \"a\"");
  this->Write("name = \"b\"");
  EXPECT_FALSE(this->file.ReadIfChanged().has_value());
  this->clock.Advance(std::chrono::seconds(2));
  EXPECT_EQ(this->file.ReadIfChanged(), "name = \"b\"");
  this->clock.Advance(std::chrono::seconds(2));
  EXPECT_FALSE(this->file.ReadIfChanged().has_value());
}

TEST_F(SettingsFileTest, RewriteWithSameContentIsNoChange) {
  this->Write("name = \"a\"");
  this->file.Read();
  this->Write("name = \"a\"");
  this->clock.Advance(std::chrono::seconds(2));
  EXPECT_FALSE(this->file.ReadIfChanged().has_value());
}

}  // namespace
}  // namespace tamarackwing::daemon
