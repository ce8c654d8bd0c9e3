#include "tamarackwing/gateway/report_hosts.h"

#include <gtest/gtest.h>

#include <map>

namespace tamarackwing::gateway {
namespace {

class ReportHostsTest : public testing::Test {
 protected:
  ReportHostsTest() {
    this->Add("m1", "muscat", true);
    this->Add("m2", "muscat", true);
    this->Add("m3", "muscat", true);
    this->Add("s1", "sohar", true);
    this->Add("e1", "muscat", false);
  }

  void Add(const std::string& name, const std::string& region, bool has_disk) {
    state::HostRecord host;
    host.name = HostName(name);
    host.region = RegionName(region);
    host.has_disk = has_disk;
    this->hosts[host.name] = host;
    this->snapshot.live.insert(host.name);
  }

  std::string HostFor(const std::string& server, const std::string& region) {
    this->snapshot.hosts =
        std::make_shared<const std::map<HostName, state::HostRecord>>(
            this->hosts);
    policy::ServerReport report;
    report.name = BackendServerName(server);
    report.region = RegionName(region);
    const state::HostRecord* host = ReportHostFor(this->snapshot, report);
    return host == nullptr ? "" : host->name.Text();
  }

  std::map<HostName, state::HostRecord> hosts;
  state::Snapshot snapshot;
};

TEST_F(ReportHostsTest, ServersAreSpreadOverTheDisksOfTheirRegion) {
  std::map<std::string, int> servers;
  for (int i = 0; i < 108; ++i) {
    servers[this->HostFor("i-" + std::to_string(i), "muscat")] += 1;
  }
  ASSERT_EQ(servers.size(), 3U);
  for (const auto& [host, count] : servers) {
    EXPECT_EQ(host.front(), 'm');
    EXPECT_GT(count, 18) << host;
  }
}

TEST_F(ReportHostsTest, OmitsLostAndDrainingHosts) {
  this->snapshot.live.erase(HostName("m1"));
  this->hosts[HostName("m2")].draining = true;
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(this->HostFor("i-" + std::to_string(i), "muscat"), "m3");
  }
}

TEST_F(ReportHostsTest, RegionWithoutDiskHasNone) {
  this->snapshot.live.erase(HostName("s1"));
  EXPECT_EQ(this->HostFor("i-1", "sohar"), "");
}

}  // namespace
}  // namespace tamarackwing::gateway
