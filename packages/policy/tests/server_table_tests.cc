#include "tamarackwing/policy/server_table.h"

#include <gtest/gtest.h>

#include <map>

#include "tamarackwing/base/digest.h"
#include "tamarackwing/base/random_source.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;

ServerReport Report(const std::string& name, std::uint32_t running = 0) {
  ServerReport report;
  report.name = BackendServerName(name);
  report.region = RegionName("muscat");
  report.data_centre = DataCentreName("muscat-a");
  report.targets = {"drafter@3"};
  report.slots = 4;
  report.running = running;
  report.prefill_rate = 1'000;
  report.decode_rate = 50;
  return report;
}

ServerQuery Query() {
  ServerQuery query;
  query.target = "drafter@3";
  query.prompt_tokens = 1'000;
  query.output_tokens = 50;
  query.data_centre = DataCentreName("muscat-a");
  return query;
}

class ServerTableTest : public testing::Test {
 protected:
  std::map<std::string, int> PickMany(const ServerQuery& query, int times) {
    std::map<std::string, int> picks;
    for (int i = 0; i < times; ++i) {
      const auto choice =
          this->table.Pick(query, this->clock.Now(), this->random);
      if (choice) {
        picks[choice->name.Text()] += 1;
      }
    }
    return picks;
  }

  static ServerTableLimits Limits() {
    ServerTableLimits limits;
    limits.ramp = milliseconds(0);
    return limits;
  }

  ManualClock clock;
  SeededRandom random{1};
  ServerTable table{Limits()};
};

TEST_F(ServerTableTest, StreamGoesOnOnlyAtServersOfItsSoftwareVersion) {
  ServerReport first = Report("x");
  first.software = "v1";
  ServerReport second = Report("y");
  second.software = "v2";
  this->table.Announce(first, this->clock.Now());
  this->table.Announce(second, this->clock.Now());
  ServerQuery query = Query();
  query.software = Sha256Prefix("v1");
  EXPECT_EQ(this->PickMany(query, 20), (std::map<std::string, int>{{"x", 20}}));
  // A new process of the same name may have another version.
  first.software = "v2";
  first.started = milliseconds(1);
  this->table.Announce(first, this->clock.Now());
  EXPECT_TRUE(this->PickMany(query, 20).empty());
}

TEST_F(ServerTableTest, VersionsOfTargetsThatAreGoneAreForgotten) {
  for (int i = 0; i < 100; ++i) {
    ServerReport report = Report("x" + std::to_string(i));
    report.targets = {"target-" + std::to_string(i)};
    this->table.Announce(report, this->clock.Now());
  }
  ASSERT_EQ(this->table.RememberedTargets(), 100U);
  this->clock.Advance(std::chrono::seconds(61));
  this->table.Expire(this->clock.Now());
  EXPECT_EQ(this->table.RememberedTargets(), 0U);
}

TEST_F(ServerTableTest, SoftwareVersionIsSoleAMinuteAfterTheLastOfAnother) {
  ServerReport report = Report("x");
  EXPECT_FALSE(this->table.SoleSoftware("drafter@3", this->clock.Now()));
  for (const char* version : {"v1", "v2"}) {
    report.software = version;
    report.started += milliseconds(1);
    this->table.Announce(report, this->clock.Now());
  }
  for (int i = 0; i < 61; ++i) {
    EXPECT_FALSE(this->table.SoleSoftware("drafter@3", this->clock.Now()));
    this->clock.Advance(std::chrono::seconds(1));
    this->table.Announce(report, this->clock.Now());
  }
  EXPECT_EQ(this->table.SoleSoftware("drafter@3", this->clock.Now()),
            Sha256Prefix("v2"));
}

TEST_F(ServerTableTest, HostThatMissedReportsNamesNoSoleSoftwareVersion) {
  ServerReport report = Report("x");
  report.software = "v2";
  // The host may have started, or been cut off, while another version served.
  for (const milliseconds missed :
       {milliseconds(0), Limits().lease + milliseconds(1)}) {
    this->clock.Advance(missed);
    for (int i = 0; i < 60; ++i) {
      this->table.Announce(report, this->clock.Now());
      EXPECT_FALSE(this->table.SoleSoftware("drafter@3", this->clock.Now()));
      this->clock.Advance(std::chrono::seconds(1));
    }
    this->table.Announce(report, this->clock.Now());
    EXPECT_EQ(this->table.SoleSoftware("drafter@3", this->clock.Now()),
              Sha256Prefix("v2"));
  }
  this->clock.Advance(Limits().lease + milliseconds(1));
  EXPECT_FALSE(this->table.SoleSoftware("drafter@3", this->clock.Now()));
}

TEST_F(ServerTableTest, PrefersIdleServerOverBusyOne) {
  this->table.Announce(Report("idle"), this->clock.Now());
  this->table.Announce(Report("busy", 40), this->clock.Now());
  EXPECT_EQ(this->PickMany(Query(), 50)["idle"], 50);
}

TEST_F(ServerTableTest, CountsRequestsSentSinceTheLastReport) {
  this->table.Announce(Report("a"), this->clock.Now());
  this->table.Announce(Report("b"), this->clock.Now());
  for (int i = 0; i < 20; ++i) {
    this->table.NoteSent(BackendServerName("a"), 0, this->clock.Now());
  }
  EXPECT_EQ(this->PickMany(Query(), 50)["b"], 50);
}

TEST_F(ServerTableTest, PrefersServerWithCachedPrefix) {
  this->table.Announce(Report("a"), this->clock.Now());
  this->table.Announce(Report("b"), this->clock.Now());
  this->table.NotePrefix(BackendServerName("a"), 7);
  ServerQuery query = Query();
  query.prefix = 7;
  EXPECT_EQ(this->PickMany(query, 50)["a"], 50);
}

TEST_F(ServerTableTest, SpreadsRequestsOverEqualServers) {
  for (const char* name : {"a", "b", "c"}) {
    this->table.Announce(Report(name), this->clock.Now());
  }
  for (const auto& [name, picks] : this->PickMany(Query(), 300)) {
    EXPECT_GT(picks, 30) << name;
  }
}

TEST_F(ServerTableTest, SendsNothingToServerThatIsShuttingDown) {
  ServerReport leaving = Report("a");
  leaving.leaving = true;
  this->table.Announce(leaving, this->clock.Now());
  EXPECT_FALSE(this->table.Pick(Query(), this->clock.Now(), this->random));
}

TEST_F(ServerTableTest, SendsNothingToServerWithExpiredLease) {
  this->table.Announce(Report("a"), this->clock.Now());
  this->clock.Advance(ServerTableLimits().lease);
  EXPECT_FALSE(this->table.Pick(Query(), this->clock.Now(), this->random));
  EXPECT_EQ(this->table.Expire(this->clock.Now()).size(), 1U);
}

TEST_F(ServerTableTest, EjectsFailedServerAndThenProbesItWithOneRequest) {
  const BackendServerName name("a");
  this->table.Announce(Report("a"), this->clock.Now());
  this->table.NoteSent(name, 0, this->clock.Now());
  this->table.NoteFinished(name, HealthSignal::kUnreachable, this->clock.Now(),
                           this->clock.Now());
  EXPECT_FALSE(this->table.Pick(Query(), this->clock.Now(), this->random));
  this->clock.Advance(milliseconds(600));
  this->table.Announce(Report("a"), this->clock.Now());
  EXPECT_TRUE(this->table.Pick(Query(), this->clock.Now(), this->random));
  this->table.NoteSent(name, 0, this->clock.Now());
  EXPECT_FALSE(this->table.Pick(Query(), this->clock.Now(), this->random));
  this->table.NoteFinished(name, HealthSignal::kAnswered, this->clock.Now(),
                           this->clock.Now());
  EXPECT_TRUE(this->table.Pick(Query(), this->clock.Now(), this->random));
}

TEST_F(ServerTableTest, RampsUpSlotsOfNewServer) {
  ServerTableLimits limits;
  limits.ramp = milliseconds(4'000);
  ServerTable ramped(limits);
  ramped.Announce(Report("a"), this->clock.Now());
  EXPECT_EQ(ramped.Slots("drafter@3", this->clock.Now()), 1U);
  this->clock.Advance(milliseconds(2'000));
  EXPECT_EQ(ramped.Slots("drafter@3", this->clock.Now()), 2U);
}

}  // namespace
}  // namespace tamarackwing::policy
