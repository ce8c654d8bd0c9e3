#include "region_table.h"

#include <gtest/gtest.h>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::daemon {
namespace {

state::HostRecord Host(const std::string& name) {
  state::HostRecord host;
  host.name = HostName(name);
  host.region = RegionName("sohar");
  return host;
}

control::ProbeReply Reply(bool links_down) {
  control::ProbeReply reply;
  reply.region = RegionName("sohar");
  control::TargetLoad load;
  load.target = "desk";
  load.slots = 8;
  load.servers = 1;
  reply.loads = {load};
  reply.links_down = links_down;
  return reply;
}

class RegionTableTest : public testing::Test {
 protected:
  void Note(const std::string& host, bool links_down) {
    this->table.NoteProbe(Host(host), Reply(links_down), Duration::zero());
  }
  std::vector<std::string> Candidates() {
    std::vector<std::string> names;
    for (const auto& candidate : this->table.Candidates("desk")) {
      names.push_back(candidate.host.Text());
    }
    return names;
  }

  ManualClock clock;
  RegionTable table{this->clock, 1'000};
};

TEST_F(RegionTableTest, HostWithoutLinksToServersIsNoCandidate) {
  this->Note("s-1", true);
  EXPECT_TRUE(this->Candidates().empty());
  this->Note("s-1", false);
  EXPECT_EQ(this->Candidates(), std::vector<std::string>{"s-1"});
  this->Note("s-1", true);
  EXPECT_TRUE(this->Candidates().empty());
}

TEST_F(RegionTableTest, HostWithoutLinksDoesNotReplaceOneThatHasThem) {
  this->Note("s-1", false);
  this->Note("s-2", true);
  EXPECT_EQ(this->Candidates(), std::vector<std::string>{"s-1"});
}

}  // namespace
}  // namespace tamarackwing::daemon
