//! Random histories in which hosts with disks are lost and replaced.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "replacement_site.h"
#include "tamarackwing/base/random_source.h"
#include "tamarackwing/control/membership_plan.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongestCut{10'000};
constexpr milliseconds kLatestSuccessor{1'500};

//! Faults that the deployment tolerates: no more hosts are lost at a time than
//! it states, and nothing else happens until their successors have caught up.
class ReplacementHistory {
 public:
  ReplacementHistory(ReplacementSite& site, std::uint64_t seed)
      : site(site), random(seed) {}

  //! Returns whether all sets were acknowledged in time.
  bool Play() {
    constexpr int kSteps = 10;
    bool acknowledged = this->site.Replace();
    for (int i = 0; i < kSteps; ++i) {
      acknowledged &= this->Step();
      this->site.cluster.Run(this->UpTo(milliseconds(2'000)));
    }
    return acknowledged & this->site.Replace();
  }

  //! All lose power, and voters that held the newest set lose their disks.
  void LosePower() {
    std::vector<HostName> wiped =
        this->site.Holders(VotersFor(this->site.Tolerated()));
    this->text += "; power; wiped";
    while (wiped.size() > this->site.Tolerated()) {
      wiped.erase(wiped.begin() + static_cast<std::ptrdiff_t>(
                                      this->random.Below(wiped.size())));
    }
    const bool return_empty = this->random.Below(2) == 0;
    const std::vector<HostName> up = this->site.CrashAll();
    this->site.cluster.Run(milliseconds(1'000));
    for (const HostName& host : wiped) {
      this->text += " " + host.Text() + (return_empty ? " (back)" : "");
      this->site.cluster.Wipe(host);
    }
    for (const HostName& host : up) {
      const bool is_wiped =
          std::find(wiped.begin(), wiped.end(), host) != wiped.end();
      if (!is_wiped || return_empty) {
        this->site.cluster.Restart(host);
      }
    }
  }

  //! Returns what has happened.
  const std::string& Text() const { return this->text; }

 private:
  milliseconds UpTo(milliseconds longest) {
    return milliseconds(
        this->random.Below(static_cast<std::uint64_t>(longest.count()) + 1));
  }

  void Note(const std::string& what) {
    const auto since = std::chrono::duration_cast<milliseconds>(
        this->site.cluster.Now() - this->start);
    this->text += "; " + std::to_string(since.count()) + " " + what;
  }

  template <typename Name>
  Name TakeAny(std::vector<Name>& names) {
    const auto at = names.begin() + static_cast<std::ptrdiff_t>(
                                        this->random.Below(names.size()));
    Name name = *at;
    names.erase(at);
    return name;
  }

  bool Step() {
    constexpr std::uint64_t kKinds = 6;
    switch (this->random.Below(kKinds)) {
      case 0:
      case 1:
      case 2:
        this->LoseAndReplace();
        return true;
      case 3:
        this->CutOff();
        return true;
      case 4:
        this->CrashAndRestart();
        return true;
      default:
        this->Note("set");
        return this->site.Replace();
    }
  }

  void LoseAndReplace() {
    std::vector<HostName> hosts = this->site.UpHostsWithDisks();
    const std::size_t count = 1 + this->random.Below(this->site.Tolerated());
    std::vector<state::HostRecord> successors;
    std::string names;
    for (std::size_t i = 0; i < count; ++i) {
      const HostName leader = this->site.cluster.Leader();
      const bool takes_leader = !leader.IsEmpty() && this->random.Below(2) == 0;
      const HostName host = takes_leader ? leader : this->TakeAny(hosts);
      std::erase(hosts, host);
      names += " " + host.Text() + (host == leader ? " (leader)" : "");
      successors.push_back(this->site.Lose(host));
    }
    this->Note("lost" + names);
    this->site.cluster.Run(this->UpTo(kLatestSuccessor));
    this->Note("successors");
    this->site.StartSuccessors(successors);
    this->site.cluster.Run(kCatchUp);
  }

  //! Cuts off a single host, or half of them.
  void CutOff() {
    std::vector<HostName> hosts = this->site.UpHosts();
    const std::size_t count = this->random.Below(2) == 0 ? 1 : hosts.size() / 2;
    std::set<HostName> side;
    std::string names;
    while (side.size() < count) {
      const HostName host = this->TakeAny(hosts);
      names += " " + host.Text();
      side.insert(host);
    }
    this->Note("cut" + names);
    this->site.cluster.Partition(side);
    this->site.cluster.Run(this->UpTo(kLongestCut));
    this->site.cluster.Heal();
    this->Note("healed");
    this->site.cluster.Run(kCatchUp);
  }

  void CrashAndRestart() {
    this->Note("all end");
    this->site.NameSeeds();
    const std::vector<HostName> up = this->site.CrashAll();
    this->site.cluster.Run(this->UpTo(milliseconds(1'000)));
    this->Note("all start");
    this->site.RestartAll(up);
    this->site.cluster.Run(kCatchUp);
  }

  ReplacementSite& site;
  SeededRandom random;
  TimePoint start = this->site.cluster.Now();
  std::string text;
};

//! Guards against orders of losses, cuts and restarts that nobody thought of,
//! and that leave no majority or lose a set. TAMARACKWING_HISTORIES plays more
//! than the histories of CI.
TEST(VoterReplacementHistory, NoHistoryWithinTheBoundLosesMajorityOrSet) {
  constexpr std::size_t kSpares = 2;
  const char* more = std::getenv("TAMARACKWING_HISTORIES");
  const int histories = more == nullptr ? 20 : std::atoi(more);
  for (int i = 0; i < histories; ++i) {
    const auto seed = static_cast<std::uint64_t>(i) + 1;
    const std::size_t tolerated = 1 + seed % 2;
    const bool has_spares = seed / 2 % 2 == 0;
    std::vector<state::HostRecord> hosts = HostsFor(tolerated);
    for (std::size_t spare = 0; has_spares && spare < kSpares; ++spare) {
      state::HostRecord host = hosts.front();
      host.name = HostName("muscat-15" + std::to_string(spare));
      hosts.push_back(host);
    }
    ReplacementSite site(hosts, FirstWithDisks(hosts), tolerated);
    ASSERT_TRUE(site.Start()) << "seed " << seed;
    ReplacementHistory history(site, seed);
    EXPECT_TRUE(history.Play()) << "seed " << seed << history.Text() << "\n"
                                << site.Describe();
    site.NameSeeds();
    history.LosePower();
    EXPECT_TRUE(
        site.cluster.RunUntil([&] { return site.IsReadable(); }, kReadLimit))
        << "seed " << seed << history.Text() << "\n"
        << site.Describe();
    EXPECT_TRUE(site.cluster.Violations().empty()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace tamarackwing::control
