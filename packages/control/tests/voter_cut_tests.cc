//! Hosts with disks are cut off from the others for some time.

#include <gtest/gtest.h>

#include <algorithm>

#include "replacement_site.h"
#include "tamarackwing/control/membership_plan.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

const std::vector<std::string> kRegions{"muscat", "salalah", "sohar"};

//! Nine hosts with disks, of which seven are voters.
std::vector<state::HostRecord> HostsWithSpares() {
  return HostsOf(kRegions, 3, 1);
}

//! Cuts a region off, and heals that after `time`. A set is replaced meanwhile.
void CutOff(ReplacementSite& site,
            const std::string& region,
            milliseconds time) {
  const std::set<HostName> side = site.cluster.HostsOf(region);
  const TimePoint start = site.cluster.Now();
  site.cluster.Partition(side);
  EXPECT_TRUE(site.ReplaceAt(site.AnyEntryHost(side))) << site.Describe();
  site.cluster.Run(std::chrono::duration_cast<milliseconds>(
      start + time - site.cluster.Now()));
  site.cluster.Heal();
}

class VoterReplacementCutTest : public testing::TestWithParam<std::string> {};

//! Guards against voters that are removed though no other host could take their
//! places, and against acknowledged sets that the cut undoes.
TEST_P(VoterReplacementCutTest, VotersRemainWithoutSpares) {
  const std::vector<state::HostRecord> hosts = HostsFor(1);
  ReplacementSite site(hosts, FirstWithDisks(hosts), 1);
  ASSERT_TRUE(site.Start());
  ASSERT_TRUE(site.Replace());
  const std::set<HostName> voters = site.Voters();
  CutOff(site, GetParam(), milliseconds(10'000));
  EXPECT_TRUE(
      site.cluster.RunUntil([&] { return site.IsReadable(); }, kCatchUp))
      << site.Describe();
  EXPECT_EQ(site.Voters(), voters);
  EXPECT_TRUE(site.Replace()) << site.Describe();
  EXPECT_EQ(site.Voters(), voters);
  EXPECT_TRUE(site.cluster.Violations().empty());
}

//! Guards against a short cut that moves the voters of the side that is cut
//! off, and so weakens that region afterwards.
TEST_P(VoterReplacementCutTest, ShortCutMovesNoVoterToSpares) {
  const std::vector<state::HostRecord> hosts = HostsWithSpares();
  ReplacementSite site(hosts, FirstWithDisks(hosts), 2);
  ASSERT_TRUE(site.Start());
  ASSERT_TRUE(site.Replace());
  const std::set<HostName> voters = site.Voters();
  CutOff(site, GetParam(), milliseconds(9'500));
  EXPECT_EQ(site.Voters(), voters);
  EXPECT_TRUE(
      site.cluster.RunUntil([&] { return site.IsReadable(); }, kCatchUp))
      << site.Describe();
  site.cluster.Run(kCatchUp);
  EXPECT_EQ(site.Voters(), voters);
  EXPECT_TRUE(site.cluster.Violations().empty());
}

INSTANTIATE_TEST_SUITE_P(Regions,
                         VoterReplacementCutTest,
                         testing::ValuesIn(kRegions));

struct LongCut {
  std::string cut;
  //! The region that is lost afterwards; if empty, as many voters as may be
  //! lost at once.
  std::string lost;
};

void PrintTo(const LongCut& which, std::ostream* out) {
  *out << which.cut << " cut off, then lost: "
       << (which.lost.empty() ? "two voters" : which.lost);
}

class VoterReplacementLongCutTest : public testing::TestWithParam<LongCut> {};

//! Guards against voters that stay silent beside spares that could take their
//! places, against hosts that stay without the newest set after a long cut, and
//! against voters that gather so that the next loss takes the majority.
TEST_P(VoterReplacementLongCutTest, SparesReplaceVotersAndLossesAreBorne) {
  const std::vector<state::HostRecord> hosts = HostsWithSpares();
  ReplacementSite site(hosts, FirstWithDisks(hosts), 2);
  ASSERT_TRUE(site.Start());
  ASSERT_TRUE(site.Replace());
  const std::set<HostName> side = site.cluster.HostsOf(GetParam().cut);
  std::set<HostName> spares;
  for (const HostName& host : site.UpHostsWithDisks()) {
    if (!site.Voters().contains(host) && !side.contains(host)) {
      spares.insert(host);
    }
  }
  ASSERT_FALSE(spares.empty());
  CutOff(site, GetParam().cut, milliseconds(20'000));
  for (const HostName& spare : spares) {
    EXPECT_TRUE(site.Voters().contains(spare)) << site.Describe();
  }
  EXPECT_TRUE(
      site.cluster.RunUntil([&] { return site.IsReadable(); }, kCatchUp))
      << site.Describe();
  site.cluster.Run(kCatchUp);
  EXPECT_GE(site.Voters().size(), VotersFor(2)) << site.Describe();
  for (const HostName& voter : site.Voters()) {
    EXPECT_EQ(site.cluster.Node(voter).Voters(), site.Voters())
        << voter.Text() << ": " << site.Describe();
  }
  std::vector<HostName> lost = site.Holders(site.Tolerated());
  if (!GetParam().lost.empty()) {
    const std::set<HostName> region = site.cluster.HostsOf(GetParam().lost);
    lost.assign(region.begin(), region.end());
  }
  for (const HostName& host : lost) {
    site.cluster.Crash(host);
  }
  EXPECT_TRUE(site.Replace()) << site.Describe();
  EXPECT_TRUE(site.cluster.Violations().empty());
}

std::vector<LongCut> LongCuts() {
  std::vector<LongCut> cuts;
  for (const std::string& cut : kRegions) {
    cuts.push_back({cut, ""});
    for (const std::string& lost : kRegions) {
      cuts.push_back({cut, lost});
    }
  }
  return cuts;
}

INSTANTIATE_TEST_SUITE_P(Regions,
                         VoterReplacementLongCutTest,
                         testing::ValuesIn(LongCuts()));

}  // namespace
}  // namespace tamarackwing::control
