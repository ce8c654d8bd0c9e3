//! How notices of the quarantine reach the entry hosts.

#include <gtest/gtest.h>

#include "control_cluster.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

class QuarantineNoticeTest : public testing::Test {
 protected:
  static constexpr std::size_t kControlHosts = 3;
  static constexpr std::size_t kEntryHosts = 20;

  static std::vector<state::HostRecord> Hosts() {
    std::vector<state::HostRecord> hosts =
        HostsOf({"muscat", "salalah", "sohar"}, kControlHosts, kEntryHosts);
    for (state::HostRecord& host : hosts) {
      host.reads_format = state::kNewestFormat;
    }
    return hosts;
  }

  void SetUp() override {
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                       milliseconds(30'000)));
    // Wait until live hosts are agreed, and a new leader needs no reports.
    this->cluster.Run(milliseconds(6'000));
    ASSERT_FALSE(this->cluster.Leader().IsEmpty());
  }

  std::vector<HostName> EntryHosts() const {
    return NamesWithoutDisks(Hosts());
  }

  //! Returns how many entry hosts have got more notices than `before`.
  std::size_t Informed(const std::map<HostName, std::size_t>& before) {
    std::size_t count = 0;
    for (const HostName& host : this->EntryHosts()) {
      count += this->cluster.NoticesAt(host) > before.at(host) ? 1 : 0;
    }
    return count;
  }
  std::map<HostName, std::size_t> Notices() {
    std::map<HostName, std::size_t> notices;
    for (const HostName& host : this->EntryHosts()) {
      notices[host] = this->cluster.NoticesAt(host);
    }
    return notices;
  }

  //! Reports that a server crashed with requests that hold a block.
  void ReportCrash(const HostName& host) {
    policy::CrashReport report;
    report.number = ++this->number;
    policy::ServerCrash crash;
    crash.server = BackendServerName("i-" + std::to_string(this->number));
    crash.suspects = {{17, this->number}};
    report.crashes.push_back(crash);
    this->cluster.ReportCrashes(host, report);
  }

  ControlCluster cluster{
      Hosts(),
      {HostName("muscat-100"), HostName("salalah-100"), HostName("sohar-100")},
      milliseconds(80),
      5};
  std::uint64_t number = 0;
};

// Guards against a leader that has no time left for heartbeats, because it
// sends each notice to hundreds of hosts.
TEST_F(QuarantineNoticeTest, LeaderSendsNoticesThroughOtherHostsWithDisks) {
  const auto before = this->Notices();
  const std::uint64_t sent = this->cluster.MessagesOfKind("relayed_notice");
  for (int i = 0; i < 6; ++i) {
    this->ReportCrash(HostName("muscat-105"));
    this->cluster.Run(milliseconds(300));
  }
  this->cluster.Run(milliseconds(2'000));
  EXPECT_EQ(this->Informed(before), this->EntryHosts().size());
  const std::uint64_t relayed =
      this->cluster.MessagesOfKind("relayed_notice") - sent;
  EXPECT_GT(relayed, 0U);
  EXPECT_EQ(relayed % (3 * kControlHosts - 1), 0U);
}

TEST_F(QuarantineNoticeTest, NoticesReachHostsWhoseRegionHasNoOtherRelay) {
  for (std::size_t i = 0; i < kControlHosts; ++i) {
    const HostName host("sohar-" + std::to_string(100 + i));
    if (host != this->cluster.Leader()) {
      this->cluster.Suspend(host);
    }
  }
  this->cluster.Run(milliseconds(8'000));
  ASSERT_FALSE(this->cluster.Leader().IsEmpty());
  const auto before = this->Notices();
  for (int i = 0; i < 6; ++i) {
    this->ReportCrash(HostName("muscat-105"));
    this->cluster.Run(milliseconds(300));
  }
  this->cluster.Run(milliseconds(2'000));
  EXPECT_EQ(this->Informed(before), this->EntryHosts().size());
}

// Guards against replies to reports that ask for nothing, which come from all
// hosts.
TEST_F(QuarantineNoticeTest, ReportOfAnswersGetsNoReply) {
  policy::CrashReport report;
  report.number = ++this->number;
  report.answered = {{17, milliseconds(20)}};
  const std::uint64_t before = this->cluster.MessagesOfKind("quarantine");
  for (const HostName& host : this->EntryHosts()) {
    this->cluster.ReportCrashes(host, report);
  }
  this->cluster.Run(milliseconds(500));
  EXPECT_EQ(this->cluster.MessagesOfKind("quarantine"), before);
}

}  // namespace
}  // namespace tamarackwing::control
