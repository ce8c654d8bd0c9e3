//! All hosts lose power, some lose their disks, and all return.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "control_cluster.h"
#include "tamarackwing/control/membership_plan.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOneWay{80};
constexpr milliseconds kStartLimit{30'000};
constexpr milliseconds kStartSpread{300};
//! Time after which a host that is back counts as present, and the next losses
//! must be borne.
constexpr milliseconds kCatchUp{6'000};
//! Time in which operators expect to read back a change after a loss of power.
constexpr milliseconds kReadLimit{6'000};
const std::vector<std::string> kRegions{"plzen", "budejovice", "jihlava"};

std::vector<state::HostRecord> MakeHosts(std::size_t entry_hosts_per_region) {
  std::vector<state::HostRecord> hosts;
  const auto add = [&](const std::string& name, const std::string& region,
                       const std::string& data_centre, bool disk) {
    state::HostRecord host;
    host.name = HostName(name);
    host.region = RegionName(region);
    host.data_centre = DataCentreName(data_centre);
    host.has_disk = disk;
    host.caller_port = disk ? 0 : 80;
    hosts.push_back(std::move(host));
  };
  for (const std::string& region : kRegions) {
    add("core-" + region + "-a-1", region, region + "-a", true);
    add("core-" + region + "-a-2", region, region + "-a", true);
    add("core-" + region + "-b-1", region, region + "-b", true);
    for (std::size_t i = 1; i <= entry_hosts_per_region; ++i) {
      add("front-" + region + "-" + std::to_string(i), region, region + "-a",
          false);
    }
  }
  return hosts;
}

//! Three regions with three hosts with disks each, of which the first is a
//! seed. Two may lose their disks at once.
class Site {
 public:
  explicit Site(std::size_t entry_hosts_per_region)
      : cluster(MakeHosts(entry_hosts_per_region),
                {HostName("core-plzen-a-1"), HostName("core-budejovice-a-1"),
                 HostName("core-jihlava-a-1")},
                kOneWay,
                VotersFor(2)) {}

  //! Returns whether all hosts became ready and agree on voters and live hosts.
  bool Start() {
    const bool is_ready =
        this->cluster
            .RunUntil([&] { return this->cluster.AllReady(); }, kStartLimit)
            .has_value();
    this->cluster.Run(milliseconds(5'000));
    return is_ready;
  }

  //! Replaces the set and returns whether the change was acknowledged.
  bool Replace() {
    state::ReplaceSet change;
    change.number = ++this->set_number;
    change.document = "document " + std::to_string(change.number);
    const HostName host("front-plzen-1");
    const std::uint64_t id = this->cluster.Change(host, change);
    return this->cluster
        .RunUntil([&] { return this->cluster.Outcome(host, id).has_value(); },
                  kStartLimit)
        .has_value();
  }

  void LosePower(const std::vector<HostName>& wiped) {
    for (const HostName& host : this->cluster.Names()) {
      this->cluster.Crash(host);
    }
    for (const HostName& host : wiped) {
      this->cluster.Wipe(host);
    }
    this->cluster.Run(milliseconds(1'400));
  }

  void ReturnAll() {
    for (const HostName& host : this->cluster.Names()) {
      this->cluster.Restart(host);
    }
  }

  //! Restarts the hosts in random order within kStartSpread.
  void ReturnInAnyOrder(RandomSource& random) {
    std::vector<HostName> names = this->cluster.Names();
    for (std::size_t i = names.size(); i > 1; --i) {
      std::swap(names[i - 1], names[random.Below(i)]);
    }
    const milliseconds step =
        kStartSpread / static_cast<std::int64_t>(names.size());
    for (const HostName& host : names) {
      this->cluster.Restart(host);
      this->cluster.Run(step);
    }
  }

  //! Whether every host has the newest set and recent leader contact.
  bool IsReadable() {
    for (const HostName& host : this->cluster.Names()) {
      const bool has_contact =
          this->cluster.Now() - this->cluster.SnapshotOf(host)->leader_contact <
          std::chrono::seconds(4);
      if (!has_contact ||
          this->cluster.Node(host).State().SetNumber() != this->set_number) {
        return false;
      }
    }
    return true;
  }

  std::set<HostName> Voters() {
    const HostName leader = this->cluster.Leader();
    return leader.IsEmpty() ? std::set<HostName>()
                            : this->cluster.Node(leader).Voters();
  }

  ControlCluster cluster;
  std::uint64_t set_number = 0;
};

//! Guards against hosts that stay alone beside a leader: all their seeds have
//! lost what they knew, two with their disks, and one because it was no voter.
TEST(PowerLoss, HostsReturnAlthoughNoSeedKeepsTheState) {
  Site site(2);
  ASSERT_TRUE(site.Start());
  ASSERT_TRUE(site.Replace());
  std::set<HostName> seeds;
  for (const state::HostRecord& host : MakeHosts(0)) {
    if (seeds.size() < 3 && !site.Voters().contains(host.name)) {
      seeds.insert(host.name);
    }
  }
  ASSERT_FALSE(seeds.empty());
  std::vector<HostName> wiped;
  for (const HostName& voter : site.Voters()) {
    if (seeds.size() < 3) {
      seeds.insert(voter);
      wiped.push_back(voter);
    }
  }
  site.cluster.SetSeeds(seeds);
  site.LosePower(wiped);
  site.ReturnAll();
  EXPECT_TRUE(
      site.cluster.RunUntil([&] { return site.IsReadable(); }, kReadLimit)
          .has_value());
}

//! Guards against elections that fail because others may not vote yet, and are
//! then not repeated for a whole election timeout or two.
TEST(PowerLoss, LeaderIsElectedAsSoonAsOthersMayVote) {
  const state::LogOptions options;
  // Until everyone may vote; a draw; a pre-vote asked for once more; the
  // requests and replies of a pre-vote and a vote.
  const milliseconds limit = kStartSpread + 2 * options.election_timeout +
                             2 * options.heartbeat + 4 * kOneWay;
  Site site(2);
  ASSERT_TRUE(site.Start());
  SeededRandom random(5);
  for (int i = 0; i < 60; ++i) {
    ASSERT_TRUE(site.Replace());
    std::vector<HostName> wiped;
    for (const HostName& voter : site.Voters()) {
      if (wiped.size() < 2 && random.Below(2) == 0) {
        wiped.push_back(voter);
      }
    }
    site.LosePower(wiped);
    const TimePoint returned = site.cluster.Now();
    site.ReturnInAnyOrder(random);
    ASSERT_TRUE(site.cluster
                    .RunUntil([&] { return !site.cluster.Leader().IsEmpty(); },
                              kStartLimit)
                    .has_value());
    EXPECT_LE(site.cluster.Now() - returned, limit) << i;
    ASSERT_TRUE(
        site.cluster.RunUntil([&] { return site.IsReadable(); }, kStartLimit)
            .has_value());
    site.cluster.Run(milliseconds(2'000));
  }
}

//! Guards against a majority that is bare after the loss that must be borne: a
//! single host that is late, or busy, then keeps all others from service.
TEST(PowerLoss, LeaderIsElectedWithoutOneOfTheHostsThatKeptTheirDisks) {
  Site site(2);
  ASSERT_TRUE(site.Start());
  ASSERT_TRUE(site.Replace());
  const std::set<HostName> voters = site.Voters();
  const std::vector<HostName> lost(voters.begin(),
                                   std::next(voters.begin(), 2));
  const HostName late = *std::next(voters.begin(), 2);
  site.LosePower(lost);
  for (const HostName& host : site.cluster.Names()) {
    if (host != late) {
      site.cluster.Restart(host);
    }
  }
  EXPECT_TRUE(site.cluster
                  .RunUntil([&] { return !site.cluster.Leader().IsEmpty(); },
                            kReadLimit)
                  .has_value());
  site.cluster.Restart(late);
  EXPECT_TRUE(
      site.cluster.RunUntil([&] { return site.IsReadable(); }, kReadLimit)
          .has_value());
}

//! Guards against a leader that is kept from its heartbeats by hosts that
//! return together: each is an entry of the log, and each entry was sent with
//! all that the voters had not acknowledged yet.
TEST(PowerLoss, EntriesOfReturningHostsAreNotSentAgainAndAgain) {
  Site site(24);
  ASSERT_TRUE(site.Start());
  site.LosePower({});
  site.ReturnAll();
  ASSERT_TRUE(site.cluster
                  .RunUntil([&] { return !site.cluster.Leader().IsEmpty(); },
                            kReadLimit)
                  .has_value());
  const HostName leader = site.cluster.Leader();
  const LogIndex before = site.cluster.Node(leader).State().Applied();
  const std::uint64_t sent_before = site.cluster.EntriesSent();
  site.cluster.Run(milliseconds(2'000));
  ASSERT_EQ(site.cluster.Leader(), leader);
  const std::uint64_t entries =
      site.cluster.Node(leader).State().Applied() - before;
  EXPECT_GE(entries, site.cluster.Names().size());
  // Two more sendings may fall into a round trip.
  EXPECT_LE(site.cluster.EntriesSent() - sent_before,
            3 * entries * (site.Voters().size() - 1));
}

//! Guards against a voter that is gone for good and still counts when two more
//! lose their disks: a machine that replaces another is given six seconds until
//! the next losses must be borne.
TEST(PowerLoss, VoterThatIsGoneLeavesAMajorityAfterTwoMoreLosses) {
  constexpr milliseconds kReplacedAfter{1'000};
  Site site(2);
  ASSERT_TRUE(site.Start());
  HostName gone;
  for (const HostName& voter : site.Voters()) {
    gone = voter == site.cluster.Leader() ? gone : voter;
  }
  site.cluster.Crash(gone);
  site.cluster.Run(kReplacedAfter + kCatchUp);
  ASSERT_TRUE(site.Replace());
  std::vector<HostName> lost;
  for (const HostName& voter : site.Voters()) {
    if (voter != gone && lost.size() < 2) {
      lost.push_back(voter);
    }
  }
  site.LosePower(lost);
  for (const HostName& host : site.cluster.Names()) {
    if (host != gone) {
      site.cluster.Restart(host);
    }
  }
  EXPECT_TRUE(site.cluster
                  .RunUntil([&] { return !site.cluster.Leader().IsEmpty(); },
                            kReadLimit)
                  .has_value());
  site.cluster.Run(milliseconds(2'000));
  const HostName leader = site.cluster.Leader();
  EXPECT_EQ(site.cluster.Node(leader).State().SetNumber(), site.set_number);
}

//! Guards against voters that are never replaced because the host that was to
//! be added has fallen silent, too.
TEST(PowerLoss, HostThatFallsSilentWhileItCatchesUpBlocksNoReplacement) {
  Site site(2);
  ASSERT_TRUE(site.Start());
  std::set<HostName> spares;
  for (const state::HostRecord& host : MakeHosts(0)) {
    if (!site.Voters().contains(host.name)) {
      spares.insert(host.name);
    }
  }
  ASSERT_EQ(spares.size(), 2U);
  HostName gone;
  for (const HostName& voter : site.Voters()) {
    gone = voter == site.cluster.Leader() ? gone : voter;
  }
  site.cluster.Crash(gone);
  // Just before the voter is replaced, so that a host is chosen that is not
  // considered lost yet.
  site.cluster.Run(ControlOptions().voter_lost - milliseconds(200));
  for (const HostName& spare : spares) {
    site.cluster.Crash(spare);
  }
  site.cluster.Run(2 * ControlOptions().voter_lost);
  site.cluster.Restart(*spares.begin());
  site.cluster.Run(milliseconds(5'000));
  EXPECT_EQ(site.Voters().size(), VotersFor(2));
  EXPECT_FALSE(site.Voters().contains(gone));
  site.cluster.Crash(*spares.begin());
  site.cluster.Restart(*std::next(spares.begin()));
  site.cluster.Run(milliseconds(15'000));
  EXPECT_TRUE(site.Voters().contains(*std::next(spares.begin())));
}

//! Guards against heartbeats that wait behind large entries, and a lease that
//! is lost: each heartbeat carried again all that a voter had not acknowledged.
TEST(PowerLoss, VotersThatDoNotReplyAreNotSentTheSameAgain) {
  Site site(2);
  ASSERT_TRUE(site.Start());
  std::set<HostName> cut;
  for (const HostName& voter : site.Voters()) {
    if (cut.size() < 2 && voter != site.cluster.Leader()) {
      cut.insert(voter);
    }
  }
  const HostName leader = site.cluster.Leader();
  const LogIndex first = site.cluster.Node(leader).State().Applied();
  const std::uint64_t before = site.cluster.EntriesSent();
  site.cluster.Partition(cut);
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(site.Replace());
  }
  site.cluster.Run(milliseconds(2'000));
  ASSERT_EQ(site.cluster.Leader(), leader);
  const std::uint64_t entries =
      site.cluster.Node(leader).State().Applied() - first;
  const std::uint64_t others = site.cluster.Node(leader).Voters().size() - 1;
  EXPECT_LE(site.cluster.EntriesSent() - before, entries * others);
}

//! Faults of hosts with disks, of which no more than two are lost at a time,
//! and a new list of seeds.
class History {
 public:
  History(Site& site, std::uint64_t seed) : site(site), random(seed) {
    for (const state::HostRecord& host : MakeHosts(0)) {
      this->hosts.push_back(host.name);
    }
  }

  void Play() {
    constexpr int kSteps = 8;
    for (int i = 0; i < kSteps; ++i) {
      this->Step();
      this->site.cluster.Run(milliseconds(this->random.Below(5'000)));
    }
    this->ReturnLost();
    std::set<HostName> seeds;
    while (seeds.size() < 3) {
      seeds.insert(this->AnyHost());
    }
    this->site.cluster.SetSeeds(seeds);
  }

  //! Returns two voters, of which each holds the newest set.
  std::vector<HostName> PickHolders() {
    std::vector<HostName> holders;
    for (const HostName& voter : this->site.Voters()) {
      if (this->site.cluster.Node(voter).State().SetNumber() ==
          this->site.set_number) {
        holders.push_back(voter);
      }
    }
    while (holders.size() > 2) {
      const auto at = this->random.Below(holders.size());
      holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(at));
    }
    return holders;
  }

  RandomSource& Random() { return this->random; }

 private:
  const HostName& AnyHost() {
    return this->hosts[this->random.Below(this->hosts.size())];
  }

  void Step() {
    const HostName host = this->AnyHost();
    const bool may_lose =
        this->lost.size() < 2 && this->site.cluster.IsUp(host);
    switch (this->random.Below(4)) {
      case 0:
      case 1:
        if (may_lose) {
          this->site.cluster.Crash(host);
          if (this->random.Below(2) == 0) {
            this->site.cluster.Wipe(host);
          }
          this->lost.push_back(host);
        }
        break;
      case 2:
        this->ReturnLost();
        break;
      default:
        this->ReturnLost();
        this->site.cluster.Partition({host});
        this->site.cluster.Run(milliseconds(this->random.Below(5'000)));
        this->site.cluster.Heal();
        this->site.cluster.Run(kCatchUp);
        break;
    }
  }

  void ReturnLost() {
    for (const HostName& host : this->lost) {
      this->site.cluster.Restart(host);
    }
    this->lost.clear();
    this->site.cluster.Run(kCatchUp);
  }

  Site& site;
  SeededRandom random;
  std::vector<HostName> hosts;
  std::vector<HostName> lost;
};

//! TAMARACKWING_HISTORIES plays more than the histories of CI.
TEST(PowerLoss, NoHistoryLosesAChangeOrLeavesItUnreadable) {
  const char* more = std::getenv("TAMARACKWING_HISTORIES");
  const int histories = more == nullptr ? 40 : std::atoi(more);
  for (int i = 0; i < histories; ++i) {
    Site site(2);
    ASSERT_TRUE(site.Start()) << i;
    History history(site, static_cast<std::uint64_t>(i) + 1);
    history.Play();
    ASSERT_TRUE(site.Replace()) << i;
    const std::vector<HostName> wiped = history.PickHolders();
    ASSERT_EQ(wiped.size(), 2U) << i;
    site.LosePower(wiped);
    site.ReturnInAnyOrder(history.Random());
    EXPECT_TRUE(
        site.cluster.RunUntil([&] { return site.IsReadable(); }, kReadLimit)
            .has_value())
        << i;
    EXPECT_TRUE(site.cluster.Violations().empty()) << i;
  }
}

}  // namespace
}  // namespace tamarackwing::control
