//! The feed of regions whose entry hosts have slow links.

#include <gtest/gtest.h>

#include "control_cluster.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

class SlowLinkTest : public testing::Test {
 protected:
  static constexpr std::size_t kEntryHosts = 48;
  static constexpr std::size_t kControlHosts = 2;
  //! 10 Mbit/s and 100 Mbit/s.
  static constexpr std::uint64_t kEntryLink = 1'250'000;
  static constexpr std::uint64_t kControlLink = 12'500'000;
  static constexpr std::size_t kSetBytes = 200'000;
  static constexpr milliseconds kChangeInterval{1'400};
  static constexpr int kChanges = 6;
  //! Within this time a set is in force on all hosts, and the last leader
  //! contact of a host that serves keys of other regions is not older.
  static constexpr milliseconds kFreshness{5'000};

  void SetUp() override {
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                       milliseconds(20'000)));
    for (const state::HostRecord& host : Hosts()) {
      this->cluster.LimitLink(host.name,
                              host.has_disk ? kControlLink : kEntryLink);
    }
    this->cluster.Run(milliseconds(3'000));
    ASSERT_FALSE(this->cluster.Leader().IsEmpty());
  }

  static std::vector<state::HostRecord> Hosts() {
    std::vector<state::HostRecord> hosts =
        HostsOf({"muscat", "sohar"}, kControlHosts, kEntryHosts);
    state::HostRecord third;
    third.name = HostName("sohar-099");
    third.region = RegionName("sohar");
    third.has_disk = true;
    hosts.push_back(third);
    return hosts;
  }

  //! Replaces the set several times in quick succession. Returns the greatest
  //! age of an entry host's last leader contact meanwhile.
  Duration ChangeSets() {
    for (int i = 0; i < kChanges; ++i) {
      state::ReplaceSet change;
      change.number = ++this->number;
      change.document = std::string(kSetBytes, static_cast<char>('a' + i));
      this->cluster.Change(this->cluster.Leader(), change);
      this->Watch(kChangeInterval);
    }
    this->Watch(kFreshness - kChangeInterval);
    return this->oldest_contact;
  }

  void Watch(milliseconds time) {
    constexpr milliseconds kLook{50};
    for (milliseconds passed{0}; passed < time; passed += kLook) {
      this->cluster.Run(kLook);
      for (const HostName& host : this->EntryHosts()) {
        this->oldest_contact =
            std::max(this->oldest_contact,
                     this->cluster.Now() -
                         this->cluster.SnapshotOf(host)->leader_contact);
      }
    }
  }

  std::vector<HostName> EntryHosts() const {
    return NamesWithoutDisks(Hosts());
  }

  std::size_t HostsWithNewestSet() {
    std::size_t count = 0;
    for (const HostName& host : this->EntryHosts()) {
      count += this->cluster.Node(host).State().SetNumber() == this->number;
    }
    return count;
  }

  ControlCluster cluster{
      Hosts(),
      {HostName("muscat-100"), HostName("sohar-099"), HostName("sohar-100")},
      milliseconds(2),
      3};
  std::uint64_t number = 0;
  Duration oldest_contact{};
};

// Guards against hosts that are sent the same sets again and again while these
// are on their way.
TEST_F(SlowLinkTest, SetsAreSentOnceToEachHost) {
  const std::uint64_t before = this->cluster.LinkBytes();
  EXPECT_LT(this->ChangeSets(), kFreshness);
  EXPECT_EQ(this->HostsWithNewestSet(), this->EntryHosts().size());
  const std::uint64_t sets = kChanges * kSetBytes * this->EntryHosts().size();
  EXPECT_LE(this->cluster.LinkBytes() - before, 2 * sets);
}

// Guards against a region that loses leader contact, because all its hosts
// fetch the sets from the same entry host once its control hosts are gone.
TEST_F(SlowLinkTest, RegionWithoutControlHostsKeepsLeaderContact) {
  this->cluster.Suspend(HostName("muscat-100"));
  this->cluster.Suspend(HostName("muscat-101"));
  this->Watch(kFreshness);
  EXPECT_LT(this->ChangeSets(), kFreshness);
  EXPECT_EQ(this->HostsWithNewestSet(), this->EntryHosts().size());
}

// Guards against hosts that stay with an entry host as their source after their
// region's control hosts are back.
TEST_F(SlowLinkTest, HostsReturnToControlHostsOfTheirRegion) {
  const std::set<HostName> control{HostName("muscat-100"),
                                   HostName("muscat-101")};
  for (const HostName& host : control) {
    this->cluster.Suspend(host);
  }
  this->Watch(milliseconds(8'000));
  for (const HostName& host : control) {
    this->cluster.Resume(host);
  }
  this->Watch(kFreshness);
  const std::uint64_t before = this->cluster.LinkBytes();
  EXPECT_LT(this->ChangeSets(), kFreshness);
  EXPECT_EQ(this->HostsWithNewestSet(), this->EntryHosts().size());
  const std::uint64_t sets = kChanges * kSetBytes * this->EntryHosts().size();
  EXPECT_LE(this->cluster.LinkBytes() - before, 2 * sets);
}

}  // namespace
}  // namespace tamarackwing::control
