//! Server reports that arrive late, out of order or from a restarted process;
//! health signals; placement by cold allowance, KV cache and load.

#include <gtest/gtest.h>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/policy/rendezvous.h"
#include "tamarackwing/policy/server_table.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ServerReportTest : public testing::Test {
 protected:
  ServerReportTest() : table(Limits()) {}

  static ServerTableLimits Limits() {
    ServerTableLimits limits;
    limits.ramp = milliseconds(0);
    limits.lapsed = seconds(30);
    limits.silence = milliseconds(1'500);
    return limits;
  }

  static ServerReport Report(const std::string& name,
                             std::int64_t started_ms,
                             std::uint64_t sequence) {
    ServerReport report;
    report.name = BackendServerName(name);
    report.data_centre = DataCentreName("a");
    report.address = "10.0.0.1";
    report.port = 80;
    report.targets = {"desk"};
    report.slots = 4;
    report.started = milliseconds(started_ms);
    report.sequence = sequence;
    return report;
  }

  ServerQuery Query() const {
    ServerQuery query;
    query.target = "desk";
    return query;
  }

  void AnnounceX() {
    this->table.Announce(Report("x", 100, 4), this->clock.Now());
  }

  //! Announces a second server at another address.
  void AnnounceY() {
    ServerReport report = Report("y", 100, 1);
    report.address = "10.0.0.2";
    this->table.Announce(report, this->clock.Now());
  }

  //! Returns a query for a prompt whose first block has 6,000 tokens.
  ServerQuery LongPrompt() const {
    ServerQuery query = this->Query();
    query.prompt_tokens = 9'000;
    query.prefix_blocks = {{11, 6'000}, {12, 3'000}};
    return query;
  }

  std::optional<ServerChoice> Pick(const ServerQuery& query) {
    return this->table.Pick(query, this->clock.Now(), this->random);
  }

  ManualClock clock;
  SeededRandom random{7};
  ServerTable table;
};

TEST_F(ServerReportTest, LateReportDoesNotReopenServerThatIsShuttingDown) {
  ServerReport leaving = Report("x", 100, 5);
  leaving.leaving = true;
  this->AnnounceX();
  this->table.Announce(leaving, this->clock.Now());
  this->table.Announce(Report("x", 100, 6), this->clock.Now());
  EXPECT_FALSE(this->Pick(this->Query()).has_value());
}

TEST_F(ServerReportTest, AcceptsNewProcessOfTheSameName) {
  ServerReport leaving = Report("x", 100, 5);
  leaving.leaving = true;
  this->table.Announce(leaving, this->clock.Now());
  this->table.Announce(Report("x", 200, 1), this->clock.Now());
  EXPECT_TRUE(this->Pick(this->Query()).has_value());
}

TEST_F(ServerReportTest, DropsLateReportWhoseAddressANewerServerHas) {
  this->table.Announce(Report("new", 200, 1), this->clock.Now());
  this->table.Announce(Report("old", 100, 9), this->clock.Now());
  const auto choice = this->Pick(this->Query());
  ASSERT_TRUE(choice.has_value());
  EXPECT_EQ(choice->name, BackendServerName("new"));
  EXPECT_EQ(this->table.Count(), 1U);
}

TEST_F(ServerReportTest, RemovesServerWhoseAddressANewerServerAnnounces) {
  this->table.Announce(Report("old", 100, 9), this->clock.Now());
  this->table.Announce(Report("new", 200, 1), this->clock.Now());
  EXPECT_EQ(this->table.Count(), 1U);
}

TEST_F(ServerReportTest, ReportWithoutAddressDeregistersServerByName) {
  this->AnnounceX();
  ServerReport left;
  left.name = BackendServerName("x");
  left.leaving = true;
  this->table.Announce(left, this->clock.Now());
  EXPECT_FALSE(this->Pick(this->Query()).has_value());
}

TEST_F(ServerReportTest, ServerWithExpiredLeaseIsTheLastResort) {
  this->AnnounceX();
  this->clock.Advance(Limits().lease + milliseconds(1));
  EXPECT_TRUE(this->table.Expire(this->clock.Now()).empty());
  EXPECT_TRUE(this->Pick(this->Query()).has_value());
  this->AnnounceY();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(this->Pick(this->Query())->name, BackendServerName("y"));
  }
}

TEST_F(ServerReportTest, SendsNothingToClosedDataCentre) {
  this->AnnounceX();
  const std::set<DataCentreName> closed{DataCentreName("a")};
  ServerQuery query = this->Query();
  query.closed = &closed;
  EXPECT_FALSE(this->Pick(query).has_value());
}

TEST_F(ServerReportTest, ColdServerGetsAtMostItsAllowanceInAnySecond) {
  ServerReport cold = Report("x", 100, 4);
  cold.cold_for = seconds(3);
  this->table.Announce(cold, this->clock.Now());
  ServerQuery query = this->Query();
  query.cold_allowance = [](const BackendServerName&) { return 1U; };
  int sent = 0;
  for (int ms = 0; ms < 2'500; ms += 10) {
    if (this->Pick(query)) {
      this->table.NoteSent(BackendServerName("x"), 0, this->clock.Now());
      this->table.NoteFinished(BackendServerName("x"), HealthSignal::kAnswered,
                               this->clock.Now(), this->clock.Now());
      sent += 1;
    }
    this->clock.Advance(milliseconds(10));
  }
  EXPECT_EQ(sent, 3);
}

TEST_F(ServerReportTest, PrefersServerThatHasCachedThePromptsBlocks) {
  this->AnnounceX();
  this->AnnounceY();
  const ServerQuery query = this->LongPrompt();
  this->table.NotePrefix(BackendServerName("y"), 11);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(this->Pick(query)->name, BackendServerName("y"));
  }
}

TEST_F(ServerReportTest, CachedBlockCountsOnlyIfAllBlocksBeforeItAreCached) {
  this->AnnounceX();
  this->AnnounceY();
  const ServerQuery query = this->LongPrompt();
  this->table.NotePrefix(BackendServerName("x"), 12);
  std::set<BackendServerName> picked;
  for (int i = 0; i < 40; ++i) {
    picked.insert(this->Pick(query)->name);
  }
  EXPECT_EQ(picked.size(), 2U);
}

TEST_F(ServerReportTest, SlotWaitIncludesRequestsOfOtherHosts) {
  this->AnnounceX();
  this->table.NoteRun("desk", seconds(4));
  for (int i = 0; i < 3; ++i) {
    this->table.NoteSent(BackendServerName("x"), 0, this->clock.Now());
  }
  EXPECT_EQ(this->Pick(this->Query())->slot_wait, Duration::zero());
  this->table.SetPeerLoad("desk", 3);
  EXPECT_EQ(this->Pick(this->Query())->slot_wait, seconds(3));
}

TEST_F(ServerReportTest, ColdServerCountsAsOneSlot) {
  ServerReport cold = Report("x", 100, 4);
  cold.cold_for = seconds(2);
  this->table.Announce(cold, this->clock.Now());
  EXPECT_EQ(this->table.Slots("desk", this->clock.Now()), 1U);
  this->clock.Advance(seconds(2));
  EXPECT_EQ(this->table.Slots("desk", this->clock.Now()), 4U);
}

TEST_F(ServerReportTest, PrefersServerWithoutPendingPrefill) {
  this->AnnounceX();
  this->AnnounceY();
  this->table.NoteSent(BackendServerName("x"), 9'000, this->clock.Now());
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(this->Pick(this->Query())->name, BackendServerName("y"));
  }
}

class ServerHealth : public ServerReportTest {
 protected:
  ServerHealth() { this->AnnounceX(); }

  void Finish(HealthSignal signal, TimePoint sent) {
    this->table.NoteFinished(BackendServerName("x"), signal, sent,
                             this->clock.Now());
  }

  bool IsPicked() { return this->Pick(this->Query()).has_value(); }
};

TEST_F(ServerHealth, EjectsAfterTwoBrokenResponsesInARow) {
  this->Finish(HealthSignal::kBroken, this->clock.Now());
  EXPECT_TRUE(this->IsPicked());
  this->Finish(HealthSignal::kAnswered, this->clock.Now());
  this->Finish(HealthSignal::kBroken, this->clock.Now());
  EXPECT_TRUE(this->IsPicked());
  this->Finish(HealthSignal::kBroken, this->clock.Now());
  EXPECT_FALSE(this->IsPicked());
}

TEST_F(ServerHealth, RequestsThatFailTogetherCountAsOneFailure) {
  const TimePoint sent = this->clock.Now();
  for (int i = 0; i < 40; ++i) {
    this->Finish(HealthSignal::kBroken, sent);
  }
  this->clock.Advance(Limits().base_ejection + milliseconds(1));
  EXPECT_TRUE(this->IsPicked());
}

TEST_F(ServerHealth, SilentServerWithRequestsInFlightGetsNoMore) {
  const BackendServerName name("x");
  this->table.NoteSent(name, 0, this->clock.Now());
  for (int i = 0; i < 5; ++i) {
    this->clock.Advance(milliseconds(1'000));
    this->table.NoteAlive(name, this->clock.Now(), this->clock.Now());
    this->table.Announce(Report("x", 100, 5 + i), this->clock.Now());
    EXPECT_TRUE(this->IsPicked());
  }
  this->clock.Advance(milliseconds(1'501));
  EXPECT_FALSE(this->IsPicked());
  this->table.NoteAlive(name, this->clock.Now(), this->clock.Now());
  EXPECT_TRUE(this->IsPicked());
}

TEST_F(ServerHealth, IdleServerIsNotSilent) {
  this->clock.Advance(milliseconds(2'500));
  EXPECT_TRUE(this->IsPicked());
}

TEST_F(ServerHealth, ServerThatRespondsToOtherRequestsIsNotSilent) {
  const TimePoint sent = this->clock.Now();
  this->clock.Advance(milliseconds(500));
  this->table.NoteAlive(BackendServerName("x"), this->clock.Now(),
                        this->clock.Now());
  this->clock.Advance(milliseconds(500));
  this->Finish(HealthSignal::kSilent, sent);
  EXPECT_TRUE(this->IsPicked());
  this->Finish(HealthSignal::kSilent, this->clock.Now());
  EXPECT_FALSE(this->IsPicked());
}

// Guards against a flood of a server that starts again (issue 64).
TEST_F(ServerHealth, RestartedServerIsNotFloodedBeforeItsFirstReport) {
  const BackendServerName name("x");
  this->clock.Advance(milliseconds(10));
  this->Finish(HealthSignal::kUnreachable, this->clock.Now());
  this->clock.Advance(milliseconds(600));
  ServerQuery query = this->Query();
  query.cold_allowance = [](const BackendServerName&) { return 1U; };
  int sent = 0;
  for (int ms = 0; ms < 900; ms += 10) {
    if (this->Pick(query)) {
      const TimePoint now = this->clock.Now();
      this->table.NoteSent(name, 0, now);
      this->table.NoteFinished(name, HealthSignal::kAnswered, now, now);
      sent += 1;
    }
    this->clock.Advance(milliseconds(10));
  }
  EXPECT_LE(sent, 1);
}

TEST(Rendezvous, EveryKeyHasTheRequestedNumberOfOwners) {
  std::vector<HostName> hosts;
  for (int i = 0; i < 9; ++i) {
    hosts.emplace_back("h" + std::to_string(i));
  }
  for (std::uint64_t key = 0; key < 200; ++key) {
    const auto owners =
        std::count_if(hosts.begin(), hosts.end(), [&](const HostName& host) {
          return IsAmongOwners(key, host, hosts, 2);
        });
    EXPECT_EQ(owners, 2);
  }
}

}  // namespace
}  // namespace tamarackwing::policy
