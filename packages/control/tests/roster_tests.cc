#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "control_cluster.h"
#include "tamarackwing/control/message_kind.h"
#include "tamarackwing/control/roster_follower.h"
#include "tamarackwing/control/server_roster.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLease{3'000};
constexpr milliseconds kInterval{500};

policy::ServerReport Report(const std::string& name, std::uint64_t sequence) {
  policy::ServerReport report;
  report.name = BackendServerName(name);
  report.region = RegionName("muscat");
  report.address = "10.0.0.1";
  report.started = milliseconds(100);
  report.sequence = sequence;
  return report;
}

class RosterTest : public testing::Test {
 protected:
  //! Lets the follower ask `source`, named `name`, and returns the names of the
  //! servers that it learns of.
  std::vector<std::string> Fetch(const ServerRoster& source,
                                 const std::string& name = "core-1") {
    this->clock.Advance(kInterval);
    const auto request =
        this->follower.Due({HostName(name)}, this->clock.Now());
    std::vector<std::string> names;
    if (request) {
      this->last = source.Reply(request->request, this->clock.Now());
      for (const policy::ServerReport& report : this->follower.HandleReply(
               request->to, this->last, this->clock.Now())) {
        names.push_back(report.name.Text());
      }
    }
    return names;
  }

  ManualClock clock;
  ServerRoster roster{1, kLease};
  RosterFollower follower{RegionName("muscat"), kInterval};
  RosterReply last;
};

TEST_F(RosterTest, ReportThatSaysTheSameIsARenewal) {
  EXPECT_TRUE(this->roster.Note(Report("x", 1), this->clock.Now()));
  EXPECT_EQ(this->Fetch(this->roster), std::vector<std::string>{"x"});
  EXPECT_EQ(this->last.entries.size(), 1U);
  EXPECT_FALSE(this->roster.Note(Report("x", 2), this->clock.Now()));
  EXPECT_EQ(this->Fetch(this->roster), std::vector<std::string>{"x"});
  EXPECT_TRUE(this->last.entries.empty());
  EXPECT_EQ(this->last.renewals.size(), 1U);
  EXPECT_TRUE(this->Fetch(this->roster).empty());
}

TEST_F(RosterTest, RenewalCountsFromTheReportNotFromTheMessage) {
  this->roster.Note(Report("x", 1), this->clock.Now());
  this->Fetch(this->roster);
  const TimePoint sent = this->clock.Now() - milliseconds(200);
  this->roster.Note(Report("x", 2), sent);
  this->clock.Advance(kInterval);
  const auto request =
      this->follower.Due({HostName("core-1")}, this->clock.Now());
  const auto reports = this->follower.HandleReply(
      request->to, this->roster.Reply(request->request, this->clock.Now()),
      this->clock.Now());
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports.front().relayed_for, kInterval + milliseconds(200));
}

TEST_F(RosterTest, ReplyThatWaitedWhileTheHostWasSuspendedIsOld) {
  this->roster.Note(Report("x", 1), this->clock.Now());
  this->clock.Advance(kInterval);
  const auto request =
      this->follower.Due({HostName("core-1")}, this->clock.Now());
  const RosterReply reply =
      this->roster.Reply(request->request, this->clock.Now());
  this->clock.Advance(milliseconds(9'000));
  const auto reports =
      this->follower.HandleReply(request->to, reply, this->clock.Now());
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports.front().relayed_for, kInterval + milliseconds(9'000));
}

TEST_F(RosterTest, UnaskedReplyIsIgnored) {
  this->Fetch(this->roster);
  this->roster.Note(Report("x", 1), this->clock.Now());
  RosterReply unasked =
      this->roster.Reply({9, RegionName("muscat"), {}}, this->clock.Now());
  EXPECT_TRUE(
      this->follower.HandleReply(HostName("core-1"), unasked, this->clock.Now())
          .empty());
}

TEST_F(RosterTest, ServerThatHasFallenSilentIsNotNewsForALateHost) {
  this->roster.Note(Report("x", 1), this->clock.Now());
  this->clock.Advance(kLease);
  EXPECT_TRUE(this->Fetch(this->roster).empty());
}

TEST_F(RosterTest, LateReportOfALeavingServerIsIgnored) {
  policy::ServerReport leaving = Report("x", 5);
  leaving.leaving = true;
  EXPECT_TRUE(this->roster.Note(leaving, this->clock.Now()));
  EXPECT_FALSE(this->roster.Note(Report("x", 4), this->clock.Now()));
  EXPECT_FALSE(this->roster.Note(Report("x", 6), this->clock.Now()));
  this->Fetch(this->roster);
  ASSERT_EQ(this->last.entries.size(), 1U);
  EXPECT_TRUE(this->last.entries.front().report.leaving);
}

TEST_F(RosterTest, DeregistrationKeepsTheAddressOfTheServer) {
  this->roster.Note(Report("x", 1), this->clock.Now());
  policy::ServerReport gone;
  gone.name = BackendServerName("x");
  gone.leaving = true;
  EXPECT_TRUE(this->roster.Note(gone, this->clock.Now()));
  this->Fetch(this->roster);
  ASSERT_EQ(this->last.entries.size(), 1U);
  EXPECT_TRUE(this->last.entries.front().report.leaving);
  EXPECT_EQ(this->last.entries.front().report.address, "10.0.0.1");
}

TEST_F(RosterTest, RestartedSourceSendsItsWholeRoster) {
  this->roster.Note(Report("x", 1), this->clock.Now());
  this->Fetch(this->roster);
  ServerRoster restarted(2, kLease);
  restarted.Note(Report("y", 1), this->clock.Now());
  restarted.Note(Report("x", 2), this->clock.Now());
  EXPECT_EQ(this->Fetch(restarted).size(), 2U);
  restarted.Note(Report("y", 2), this->clock.Now());
  EXPECT_EQ(this->Fetch(restarted), std::vector<std::string>{"y"});
}

TEST_F(RosterTest, SilentSourceIsReplacedAndTriedAgainLater) {
  const std::vector<HostName> sources{HostName("a"), HostName("b")};
  std::vector<std::string> asked;
  for (int i = 0; i < 30; ++i) {
    this->clock.Advance(kInterval);
    const auto request = this->follower.Due(sources, this->clock.Now());
    ASSERT_TRUE(request);
    asked.push_back(request->to.Text());
    if (request->to == HostName("b")) {
      this->follower.HandleReply(
          request->to, this->roster.Reply(request->request, this->clock.Now()),
          this->clock.Now());
    }
  }
  EXPECT_EQ(asked.at(0), "a");
  EXPECT_EQ(asked.at(5), "b");
  EXPECT_EQ(asked.at(16), "a");
  EXPECT_GT(std::count(asked.begin(), asked.end(), "b"), 15);
}

// Guards against reports from a host of another region, which may have none.
TEST_F(RosterTest, SourceIsKeptWhileALostHostMovesToTheEndOfTheOrder) {
  const HostName first("core-1");
  const HostName second("core-2");
  const HostName remote("core-9");
  HostName asked;
  for (int i = 0; i < 6; ++i) {
    asked = this->follower.Due({first, second, remote}, this->clock.Now())->to;
    this->clock.Advance(kInterval);
  }
  ASSERT_EQ(asked, second);
  const auto request =
      this->follower.Due({second, remote, first}, this->clock.Now());
  EXPECT_EQ(request->to, second);
}

// Guards against five seconds without reports after a control host of the
// region has been counted as lost for a moment.
TEST_F(RosterTest, SourceOfTheRegionIsAskedAgainAsSoonAsItIsNotLost) {
  const HostName own("core-1");
  const HostName remote("core-9");
  for (Duration asked{0}; asked <= std::chrono::seconds(5);
       asked += kInterval) {
    this->Fetch(this->roster, own.Text());
  }
  this->clock.Advance(kInterval);
  EXPECT_EQ(this->follower.Due({remote, own}, this->clock.Now())->to, remote);
  this->clock.Advance(kInterval);
  EXPECT_EQ(this->follower.Due({own, remote}, this->clock.Now())->to, own);
}

// Guards against an entry host that learns of no server of its region for good
// once it has asked a host that started at the same moment as its source.
TEST_F(RosterTest, ReportsOfAnotherSourceWithTheSameEpochAreLearnt) {
  ServerRoster remote(1, kLease);
  for (int i = 0; i < 9; ++i) {
    remote.Note(Report("r" + std::to_string(i), 1), this->clock.Now());
  }
  this->Fetch(remote, "core-9");
  this->roster.Note(Report("x", 1), this->clock.Now());
  EXPECT_EQ(this->Fetch(this->roster), std::vector<std::string>{"x"});
}

TEST_F(RosterTest, FullRosterTakesNoMoreNames) {
  for (int i = 0; i < 20'000; ++i) {
    this->roster.Note(Report("s" + std::to_string(i), 1), this->clock.Now());
  }
  EXPECT_EQ(this->roster.Size(), 16'384U);
  this->clock.Advance(milliseconds(60'000));
  this->roster.Expire(this->clock.Now());
  EXPECT_EQ(this->roster.Size(), 0U);
}

// Guards against a server that an entry host never learns, because its lease
// had ended when the host first asked and it was only renewed afterwards.
TEST(RosterFollower, ServerThatWasLeftOutIsLearntOnceItRenewsItsLease) {
  ManualClock clock;
  ServerRoster roster(1, kLease);
  RosterFollower follower(RegionName("muscat"), kInterval);
  std::set<std::string> learnt;
  const auto fetch = [&] {
    clock.Advance(kInterval);
    const auto request = follower.Due({HostName("a")}, clock.Now());
    ASSERT_TRUE(request.has_value());
    for (const policy::ServerReport& report : follower.HandleReply(
             request->to, roster.Reply(request->request, clock.Now()),
             clock.Now())) {
      learnt.insert(report.name.Text());
    }
  };
  roster.Note(Report("lapsed", 1), clock.Now());
  clock.Advance(kLease);
  roster.Note(Report("other", 1), clock.Now());
  fetch();
  ASSERT_EQ(learnt, std::set<std::string>{"other"});
  roster.Note(Report("lapsed", 2), clock.Now());
  fetch();
  fetch();
  EXPECT_TRUE(learnt.contains("lapsed"));
}

// Whatever is lost, late or answered by another source, a follower that is
// answered in the end has the last report of each server that lives.
RC_GTEST_PROP(RosterProperty, FollowerCatchesUp, ()) {
  ManualClock clock;
  std::map<std::string, ServerRoster> rosters{{"a", {1, kLease}},
                                              {"b", {2, kLease}}};
  RosterFollower follower(RegionName("muscat"), kInterval);
  std::map<std::string, bool> leaving;
  std::map<std::string, bool> learnt;
  std::vector<std::pair<HostName, RosterReply>> on_the_way;
  std::uint64_t sequence = 0;
  const auto apply = [&](const HostName& from, const RosterReply& reply) {
    for (const policy::ServerReport& report :
         follower.HandleReply(from, reply, clock.Now())) {
      learnt[report.name.Text()] = report.leaving;
    }
  };
  const auto fetch = [&](bool is_lost, bool is_late) {
    clock.Advance(kInterval);
    const auto request =
        follower.Due({HostName("a"), HostName("b")}, clock.Now());
    if (!request || is_lost) {
      return;
    }
    const RosterReply reply =
        rosters.at(request->to.Text()).Reply(request->request, clock.Now());
    if (is_late) {
      on_the_way.emplace_back(request->to, reply);
    } else {
      apply(request->to, reply);
    }
  };
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const std::string name = "s" + std::to_string(*rc::gen::inRange(0, 4));
    policy::ServerReport report = Report(name, ++sequence);
    report.leaving = leaving[name] || *rc::gen::inRange(0, 8) == 0;
    leaving[name] = report.leaving;
    for (auto& [source, roster] : rosters) {
      roster.Note(report, clock.Now());
    }
    fetch(*rc::gen::inRange(0, 3) == 0, *rc::gen::inRange(0, 3) == 0);
    if (!on_the_way.empty() && *rc::gen::arbitrary<bool>()) {
      apply(on_the_way.back().first, on_the_way.back().second);
      on_the_way.pop_back();
    }
  }
  for (const auto& [name, is_leaving] : leaving) {
    policy::ServerReport report = Report(name, ++sequence);
    report.leaving = is_leaving;
    for (auto& [source, roster] : rosters) {
      roster.Note(report, clock.Now());
    }
  }
  fetch(false, false);
  fetch(false, false);
  for (const auto& [name, is_leaving] : leaving) {
    RC_ASSERT(learnt.contains(name));
    RC_ASSERT(learnt.at(name) == is_leaving);
  }
}

std::vector<state::HostRecord> LargeFleet(int entry_hosts_per_region) {
  std::vector<state::HostRecord> hosts;
  for (const std::string region : {"muscat", "sohar", "salalah"}) {
    for (int i = 0; i < 3 + entry_hosts_per_region; ++i) {
      state::HostRecord host;
      host.name = HostName(region + "-" + std::to_string(100 + i));
      host.region = RegionName(region);
      host.has_disk = i < 3;
      host.caller_port = host.has_disk ? 0 : 80;
      hosts.push_back(host);
    }
  }
  return hosts;
}

//! A fleet in which every backend server reports each kReportInterval to one of
//! the hosts with disks.
class RosterFleet {
 public:
  static constexpr milliseconds kReportInterval{1'200};

  explicit RosterFleet(int entry_hosts_per_region)
      : cluster(LargeFleet(entry_hosts_per_region),
                {HostName("muscat-100"), HostName("sohar-100"),
                 HostName("salalah-100")},
                milliseconds(80)) {}

  //! Sends a report of each of `servers` servers of Muscat to the hosts named
  //! by turns, then runs for a report's interval.
  void Round(int servers, const std::vector<std::string>& hosts) {
    this->sequence += 1;
    for (int i = 0; i < servers; ++i) {
      policy::ServerReport report =
          Report("i-" + std::to_string(i), this->sequence);
      report.leaving = this->leaving.contains(i);
      this->cluster.RelayServer(
          HostName(hosts.at(static_cast<std::size_t>(i) % hosts.size())),
          report);
    }
    this->cluster.Run(kReportInterval);
  }

  ControlCluster cluster;
  std::set<int> leaving;

 private:
  std::uint64_t sequence = 0;
};

TEST(RosterFleet, MessagesDoNotGrowWithServersTimesHosts) {
  constexpr int kEntryHosts = 30;
  constexpr int kServers = 108;
  RosterFleet fleet(kEntryHosts);
  ASSERT_TRUE(fleet.cluster.RunUntil([&] { return fleet.cluster.AllReady(); },
                                     milliseconds(20'000)));
  const std::vector<std::string> reporters{"muscat-100", "muscat-101",
                                           "muscat-102"};
  fleet.Round(kServers, reporters);
  fleet.Round(kServers, reporters);
  const std::uint64_t before = fleet.cluster.MessagesOfKind("servers") +
                               fleet.cluster.MessagesOfKind("roster_request") +
                               fleet.cluster.MessagesOfKind("roster_reply");
  constexpr int kRounds = 5;
  for (int i = 0; i < kRounds; ++i) {
    fleet.Round(kServers, reporters);
  }
  const std::uint64_t sent = fleet.cluster.MessagesOfKind("servers") +
                             fleet.cluster.MessagesOfKind("roster_request") +
                             fleet.cluster.MessagesOfKind("roster_reply") -
                             before;
  // Two messages a fetch of each of the fleet's entry hosts, and one batch an
  // interval between the hosts with disks.
  const auto fetches = kRounds * RosterFleet::kReportInterval / kInterval + 1;
  const auto batches =
      kRounds * RosterFleet::kReportInterval / milliseconds(100) + 1;
  EXPECT_LE(sent, static_cast<std::uint64_t>(fetches * 2 * 3 * kEntryHosts +
                                             batches * 3 * 2));
  EXPECT_EQ(fleet.cluster.ServersKnownTo(HostName("muscat-110")).size(),
            static_cast<std::size_t>(kServers));
  EXPECT_TRUE(fleet.cluster.ServersKnownTo(HostName("sohar-110")).empty());
}

TEST(RosterFleet, ShutdownReachesEveryHostOfTheRegionWithinTwoSeconds) {
  RosterFleet fleet(10);
  ASSERT_TRUE(fleet.cluster.RunUntil([&] { return fleet.cluster.AllReady(); },
                                     milliseconds(20'000)));
  // Reported to another region, as a server does that has just started.
  fleet.Round(4, {"sohar-101"});
  fleet.leaving.insert(2);
  fleet.Round(4, {"sohar-101"});
  fleet.cluster.Run(milliseconds(800));
  for (int i = 103; i < 113; ++i) {
    const HostName host("muscat-" + std::to_string(i));
    const auto& servers = fleet.cluster.ServersKnownTo(host);
    ASSERT_EQ(servers.size(), 4U) << host.Text();
    EXPECT_TRUE(servers.at(BackendServerName("i-2")).leaving) << host.Text();
    EXPECT_FALSE(servers.at(BackendServerName("i-1")).leaving) << host.Text();
  }
}

TEST(RosterFleet, RegionWithoutItsDisksLearnsOfServersFromOthers) {
  RosterFleet fleet(5);
  ASSERT_TRUE(fleet.cluster.RunUntil([&] { return fleet.cluster.AllReady(); },
                                     milliseconds(20'000)));
  for (const char* lost : {"muscat-100", "muscat-101", "muscat-102"}) {
    fleet.cluster.Crash(HostName(lost));
  }
  fleet.cluster.Run(milliseconds(8'000));
  fleet.Round(4, {"sohar-101"});
  fleet.cluster.Run(milliseconds(6'000));
  fleet.Round(4, {"sohar-101"});
  for (int i = 103; i < 108; ++i) {
    const HostName host("muscat-" + std::to_string(i));
    EXPECT_EQ(fleet.cluster.ServersKnownTo(host).size(), 4U) << host.Text();
  }
}

//! A fleet whose hosts tell each other of signs of replaced servers.
class ToldSignsTest : public testing::Test {
 protected:
  static constexpr int kEntryHosts = 5;

  void SetUp() override {
    ASSERT_TRUE(this->fleet.cluster.RunUntil(
        [&] { return this->fleet.cluster.AllReady(); }, milliseconds(20'000)));
  }

  //! Returns how many signs each entry host of a region but one was told.
  std::set<std::size_t> DoubtsToldIn(const std::string& region,
                                     const std::string& but = "") {
    std::set<std::size_t> counts;
    for (int i = 103; i < 103 + kEntryHosts; ++i) {
      const std::string name = region + "-" + std::to_string(i);
      if (name != but) {
        counts.insert(this->fleet.cluster.DoubtsToldTo(HostName(name)).size());
      }
    }
    return counts;
  }

  RosterFleet fleet{kEntryHosts};
};

// Guards against a flood of a server that starts again before its first report
// reaches the hosts (issue 64).
TEST_F(ToldSignsTest,
       EntryHostsHearAtOnceOfAServerThatWasReplacedOrIsColdAgain) {
  const HostName control("muscat-100");
  this->fleet.Round(2, {control.Text()});
  policy::ServerReport cold = Report("i-0", 5);
  cold.cold_for = milliseconds(3'000);
  this->fleet.cluster.RelayServer(control, cold);
  policy::ServerReport replaced = Report("i-1", 1);
  replaced.started = milliseconds(200);
  this->fleet.cluster.RelayServer(control, replaced);
  this->fleet.cluster.Run(milliseconds(150));
  EXPECT_EQ(this->DoubtsToldIn("muscat"), std::set<std::size_t>{2});
  EXPECT_EQ(this->DoubtsToldIn("sohar"), std::set<std::size_t>{0});
  const auto& told = this->fleet.cluster.DoubtsToldTo(HostName("muscat-103"));
  EXPECT_FALSE(told.at(0).is_replaced);
  EXPECT_TRUE(told.at(1).is_replaced);
  EXPECT_EQ(told.at(1).started, milliseconds(100));
  this->fleet.Round(1, {control.Text()});
  EXPECT_EQ(told.size(), 2U);
}

// Guards against a sound server that the whole region takes for cold.
TEST_F(ToldSignsTest, LateReportOfAWarmUpTellsNothing) {
  const HostName control("muscat-100");
  this->fleet.cluster.RelayServer(control, Report("i-0", 6));
  policy::ServerReport late = Report("i-0", 5);
  late.cold_for = milliseconds(200);
  this->fleet.cluster.RelayServer(control, late);
  this->fleet.cluster.Run(milliseconds(150));
  EXPECT_EQ(this->DoubtsToldIn("muscat"), std::set<std::size_t>{0});
}

TEST_F(ToldSignsTest, SignsReachTheOtherEntryHostsOfTheRegionOnly) {
  HeardDoubt doubt;
  doubt.server = BackendServerName("i-0");
  this->fleet.cluster.TellDoubts(HostName("muscat-103"), {doubt, doubt});
  this->fleet.cluster.Run(milliseconds(150));
  EXPECT_EQ(this->DoubtsToldIn("muscat", "muscat-103"),
            std::set<std::size_t>{2});
  EXPECT_EQ(this->DoubtsToldIn("sohar"), std::set<std::size_t>{0});
  EXPECT_EQ(this->fleet.cluster.MessagesOfKind("server_doubts"),
            static_cast<std::uint64_t>(kEntryHosts - 1));
}

}  // namespace
}  // namespace tamarackwing::control
