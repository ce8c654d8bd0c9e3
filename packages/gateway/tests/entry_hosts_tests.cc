#include "tamarackwing/gateway/entry_hosts.h"

#include <gtest/gtest.h>

namespace tamarackwing::gateway {
namespace {

class EntryHostsTest : public testing::Test {
 protected:
  void Add(const std::string& name, const std::string& region, bool draining) {
    state::HostRecord host;
    host.name = HostName(name);
    host.region = RegionName(region);
    host.caller_address = name;
    host.caller_port = 80;
    host.draining = draining;
    this->hosts[host.name] = host;
    this->snapshot.live.insert(host.name);
  }

  std::vector<std::string> EndpointsFor(const std::string& region) {
    this->snapshot.hosts =
        std::make_shared<const std::map<HostName, state::HostRecord>>(
            this->hosts);
    std::vector<std::string> names;
    for (const http::Endpoint& endpoint :
         EntryHostsFor(this->snapshot, RegionName(region), this->first)
             .endpoints) {
      names.push_back(endpoint.address);
    }
    return names;
  }

  std::map<HostName, state::HostRecord> hosts;
  state::Snapshot snapshot;
  std::size_t first = 0;
};

TEST_F(EntryHostsTest, PrefersNonDrainingHostsOfTheRegion) {
  this->Add("p1", "plzen", false);
  this->Add("p2", "plzen", true);
  this->Add("j1", "jihlava", false);
  EXPECT_EQ(this->EndpointsFor("plzen"), std::vector<std::string>{"p1"});
}

TEST_F(EntryHostsTest, OmitsLostHost) {
  this->Add("p1", "plzen", false);
  this->Add("p2", "plzen", false);
  this->snapshot.live.erase(HostName("p1"));
  EXPECT_EQ(this->EndpointsFor("plzen"), std::vector<std::string>{"p2"});
}

TEST_F(EntryHostsTest, FallbackPrefersRegionsThatEveryRuleAllows) {
  this->Add("p1", "plzen", true);
  this->Add("b1", "budejovice", false);
  this->Add("j1", "jihlava", false);
  auto set = std::make_shared<state::ConfigurationSet>();
  const state::ResidencyRule rule{
      state::ResidencyRuleName("two"),
      {RegionName("plzen"), RegionName("budejovice")}};
  set->residency_rules[rule.name] = rule;
  this->snapshot.set = set;
  EXPECT_EQ(this->EndpointsFor("plzen"), std::vector<std::string>{"b1"});
  this->hosts.at(HostName("b1")).draining = true;
  EXPECT_EQ(this->EndpointsFor("plzen"), std::vector<std::string>{"p1"});
  this->hosts.erase(HostName("p1"));
  EXPECT_EQ(this->EndpointsFor("plzen"), std::vector<std::string>{"j1"});
}

TEST_F(EntryHostsTest, AllHostsOfALargeRegionGetAsManyCallers) {
  constexpr int kHosts = 97;
  for (int i = 0; i < kHosts; ++i) {
    this->Add("m" + std::to_string(100 + i), "muscat", false);
  }
  std::map<std::string, int> named;
  for (int i = 0; i < kHosts; ++i) {
    for (const std::string& host : this->EndpointsFor("muscat")) {
      named[host] += 1;
    }
    this->first += kMaxEntryHosts;
  }
  ASSERT_EQ(named.size(), static_cast<std::size_t>(kHosts));
  for (const auto& [host, times] : named) {
    EXPECT_EQ(times, static_cast<int>(kMaxEntryHosts)) << host;
  }
}

}  // namespace
}  // namespace tamarackwing::gateway
