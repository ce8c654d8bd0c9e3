//! Hosts with disks are lost for good, one after another, and others take their
//! places.

#include <gtest/gtest.h>

#include <algorithm>

#include "control_cluster.h"
#include "tamarackwing/control/membership_plan.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOneWay{80};
constexpr milliseconds kStartLimit{30'000};
//! Time from the loss of a host to the start of the one that takes its place.
constexpr milliseconds kSuccessorAfter{1'000};
//! Time from then on after which the next losses must be borne.
constexpr milliseconds kCatchUp{4'000};
//! Time in which operators expect an acknowledgement, and to read it back after
//! a loss of power.
constexpr milliseconds kAcknowledgeLimit{8'000};
constexpr milliseconds kReadLimit{6'000};

//! Which hosts are lost first.
enum class Order { kLeaderFirst, kLeaderLast, kLeaderEachTime };

struct Case {
  //! How many hosts with disks may be lost at once.
  std::size_t tolerated = 1;
  Order order = Order::kLeaderFirst;
};

void PrintTo(const Case& which, std::ostream* out) {
  *out << which.tolerated << " lost at once, order "
       << static_cast<int>(which.order);
}

//! Three regions with as many hosts with disks as there are to be voters, and
//! an entry host each.
std::vector<state::HostRecord> HostsFor(std::size_t tolerated) {
  const std::size_t per_region = (VotersFor(tolerated) + 2) / 3;
  std::vector<state::HostRecord> hosts =
      HostsOf({"muscat", "salalah", "sohar"}, per_region, 1);
  while (hosts.size() > VotersFor(tolerated) + 3) {
    hosts.erase(std::find_if(
        hosts.begin(), hosts.end(), [](const state::HostRecord& host) {
          return host.has_disk && host.region == RegionName("sohar");
        }));
  }
  return hosts;
}

class VoterReplacementTest : public testing::TestWithParam<Case> {
 protected:
  void SetUp() override {
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                       kStartLimit));
    ASSERT_TRUE(this->cluster.RunUntil(
        [&] {
          return this->Voters().size() == VotersFor(GetParam().tolerated);
        },
        kStartLimit));
    this->cluster.Run(milliseconds(1'000));
  }

  std::set<HostName> Voters() {
    const HostName leader = this->cluster.Leader();
    return leader.IsEmpty() ? std::set<HostName>()
                            : this->cluster.Node(leader).Voters();
  }

  //! Replaces the set and returns whether that was acknowledged in time.
  bool Replace() {
    state::ReplaceSet change;
    change.number = ++this->set_number;
    change.document = "document " + std::to_string(change.number);
    const HostName host("muscat-103");
    const HostName at = this->cluster.IsUp(host) ? host : this->AnyEntryHost();
    const std::uint64_t id = this->cluster.Change(at, change);
    return this->cluster
        .RunUntil([&] { return this->cluster.Outcome(at, id).has_value(); },
                  kAcknowledgeLimit)
        .has_value();
  }

  HostName AnyEntryHost() const {
    for (const state::HostRecord& host : this->first_hosts) {
      if (host.IsEntryHost()) {
        return host.name;
      }
    }
    return {};
  }

  //! Returns the next host to lose: one of the first hosts while there are any,
  //! or whoever leads.
  HostName NextLost() {
    const HostName leader = this->cluster.Leader();
    const Order order = GetParam().order;
    const bool takes_leader = order == Order::kLeaderEachTime ||
                              (order == Order::kLeaderFirst && this->lost == 0);
    if (takes_leader && !leader.IsEmpty()) {
      return leader;
    }
    for (const state::HostRecord& host : this->first_hosts) {
      if (host.has_disk && this->cluster.IsUp(host.name) &&
          host.name != leader) {
        return host.name;
      }
    }
    return leader;
  }

  //! Loses as many hosts as may be lost at once and starts their successors.
  void LoseAndReplace() {
    std::vector<state::HostRecord> successors;
    for (std::size_t i = 0; i < GetParam().tolerated; ++i) {
      const HostName host = this->NextLost();
      if (host.IsEmpty()) {
        continue;
      }
      state::HostRecord successor = this->RecordOf(host);
      this->cluster.Crash(host);
      this->lost += 1;
      successor.name =
          HostName(successor.region.Text() + "-" + std::to_string(200 + lost));
      successors.push_back(successor);
    }
    this->cluster.Run(kSuccessorAfter);
    this->NameSeeds();
    for (const state::HostRecord& successor : successors) {
      this->records.push_back(successor);
      this->cluster.Add(successor);
    }
    this->cluster.Run(kCatchUp);
  }

  //! Names hosts that are up as the seeds of those that start from now on.
  void NameSeeds() {
    constexpr std::size_t kSeeds = 3;
    std::set<HostName> seeds;
    for (const state::HostRecord& host : this->records) {
      if (host.has_disk && this->cluster.IsUp(host.name) &&
          seeds.size() < kSeeds) {
        seeds.insert(host.name);
      }
    }
    this->cluster.SetSeeds(seeds);
  }

  state::HostRecord RecordOf(const HostName& name) const {
    return *std::find_if(
        this->records.begin(), this->records.end(),
        [&](const state::HostRecord& host) { return host.name == name; });
  }

  //! Returns whether every running host has the newest set and recent leader
  //! contact.
  bool IsReadable() {
    const std::vector<HostName> names = this->cluster.Names();
    return std::all_of(names.begin(), names.end(), [&](const HostName& host) {
      return !this->cluster.IsUp(host) ||
             (this->cluster.Now() -
                      this->cluster.SnapshotOf(host)->leader_contact <
                  std::chrono::seconds(4) &&
              this->cluster.Node(host).State().SetNumber() == this->set_number);
    });
  }

  std::vector<state::HostRecord> first_hosts = HostsFor(GetParam().tolerated);
  std::vector<state::HostRecord> records = first_hosts;
  ControlCluster cluster{
      first_hosts,
      {HostName("muscat-100"), HostName("salalah-100"), HostName("sohar-101")},
      kOneWay,
      VotersFor(GetParam().tolerated)};
  std::size_t lost = 0;
  std::uint64_t set_number = 0;
};

//! Guards against a configuration that nobody can read or change any more: the
//! voters that are gone, and still count, become a majority.
TEST_P(VoterReplacementTest, MajorityRemainsWhileHostsAreLostInTurn) {
  constexpr int kRounds = 5;
  ASSERT_TRUE(this->Replace());
  for (int i = 0; i < kRounds; ++i) {
    this->LoseAndReplace();
  }
  ASSERT_TRUE(this->Replace());
  this->NameSeeds();
  std::vector<HostName> up;
  for (const HostName& host : this->cluster.Names()) {
    if (this->cluster.IsUp(host)) {
      up.push_back(host);
    }
  }
  for (const HostName& host : up) {
    this->cluster.Crash(host);
  }
  this->cluster.Run(milliseconds(1'000));
  for (const HostName& host : up) {
    this->cluster.Restart(host);
  }
  EXPECT_TRUE(
      this->cluster.RunUntil([&] { return this->IsReadable(); }, kReadLimit));
  EXPECT_TRUE(this->cluster.Violations().empty());
}

INSTANTIATE_TEST_SUITE_P(Orders,
                         VoterReplacementTest,
                         testing::Values(Case{1, Order::kLeaderFirst},
                                         Case{1, Order::kLeaderLast},
                                         Case{1, Order::kLeaderEachTime},
                                         Case{2, Order::kLeaderFirst},
                                         Case{2, Order::kLeaderLast},
                                         Case{2, Order::kLeaderEachTime}));

}  // namespace
}  // namespace tamarackwing::control
