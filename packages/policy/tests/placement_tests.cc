//! Prompts that begin alike, on engines that keep what they have read.

#include "tamarackwing/policy/placement.h"

#include <gtest/gtest.h>

#include <list>
#include <map>
#include <string>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/policy/server_table.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;

PlacementOption Option(std::string_view server,
                       milliseconds wait,
                       milliseconds own) {
  return {server, wait, wait + own};
}

TEST(Placement, AGroupStaysWithItsServerWhileTheWaitIsWorthTheReading) {
  SeededRandom random(1);
  const PromptGroup group{77, milliseconds(100)};
  std::vector<PlacementOption> options{
      Option("a", milliseconds(0), milliseconds(10)),
      Option("b", milliseconds(0), milliseconds(10))};
  const std::size_t home = ChoosePlacement(options, group, random);
  options[home].wait = milliseconds(400);
  EXPECT_EQ(ChoosePlacement(options, group, random), home);
  options[home].wait = milliseconds(401);
  EXPECT_EQ(ChoosePlacement(options, group, random), 1 - home);
}

TEST(Placement, APromptByItselfGoesWhereItEndsFirst) {
  SeededRandom random(1);
  const std::vector<PlacementOption> options{
      Option("a", milliseconds(0), milliseconds(200)),
      Option("b", milliseconds(20), milliseconds(80))};
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(ChoosePlacement(options, {}, random), 1U);
  }
}

//! An engine that reads prompts one after another and keeps what it has read,
//! the least recently used going first.
class ReadingEngine {
 public:
  //! Takes a prompt; returns when it is read.
  TimePoint Take(const std::vector<PrefixBlock>& prefix_blocks, TimePoint now) {
    TokenCount missing = 0;
    bool all_kept = true;
    for (const PrefixBlock& part : prefix_blocks) {
      all_kept = all_kept && this->places.contains(part.digest);
      if (!all_kept) {
        missing += part.tokens;
        this->shared_read +=
            part.digest == prefix_blocks.back().digest ? 0 : part.tokens;
      }
      this->Keep(part);
    }
    const double seconds = static_cast<double>(missing) / kTokensPerSecond;
    this->free_at = std::max(this->free_at, now) +
                    std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(seconds));
    return this->free_at;
  }
  TokenCount SharedRead() const { return this->shared_read; }

 private:
  static constexpr double kTokensPerSecond = 30'000;
  static constexpr TokenCount kMemory = 200'000;

  void Keep(const PrefixBlock& part) {
    const auto place = this->places.find(part.digest);
    if (place != this->places.end()) {
      this->kept.erase(place->second);
      this->used -= part.tokens;
    }
    this->kept.push_back(part);
    this->places[part.digest] = std::prev(this->kept.end());
    this->used += part.tokens;
    while (this->used > kMemory) {
      this->used -= this->kept.front().tokens;
      this->places.erase(this->kept.front().digest);
      this->kept.pop_front();
    }
  }

  TimePoint free_at;
  TokenCount used = 0;
  TokenCount shared_read = 0;
  std::list<PrefixBlock> kept;
  std::map<std::uint64_t, std::list<PrefixBlock>::iterator> places;
};

//! What a replay of the load shows.
struct ReplayResult {
  TokenCount shared_read = 0;
  Duration mean_wait{};
  Duration longest_wait{};
};

//! Two hosts that know only what they sent themselves, nine engines, and in
//! each second `rate` prompts about one of forty texts, some of them asked for
//! far more often than others.
ReplayResult Replay(bool gathers, int rate) {
  constexpr int kEngines = 9;
  constexpr int kTexts = 40;
  constexpr TokenCount kText = 6'000;
  constexpr TokenCount kOwn = 2'800;
  constexpr std::chrono::seconds kSpan{20};
  ServerTableLimits limits;
  limits.lease = std::chrono::hours(1);
  limits.ramp = milliseconds(0);
  limits.prefill_rate = 8'000;
  SeededRandom random(20261204);
  std::vector<ServerTable> hosts;
  std::vector<ReadingEngine> engines(kEngines);
  for (int h = 0; h < 2; ++h) {
    hosts.emplace_back(limits);
    for (int e = 0; e < kEngines; ++e) {
      ServerReport report;
      report.name = BackendServerName(std::to_string(e));
      report.address = "10.0.0." + std::to_string(e);
      report.port = 80;
      report.targets = {"drafter"};
      report.slots = 64;
      hosts.back().Announce(report, TimePoint());
    }
  }
  struct UnderWay {
    std::size_t host;
    BackendServerName server;
    std::vector<PrefixBlock> prefix_blocks;
  };
  std::multimap<TimePoint, UnderWay> under_way;
  ReplayResult result;
  const int prompts = rate * static_cast<int>(kSpan.count());
  for (int i = 0; i < prompts; ++i) {
    const TimePoint now =
        TimePoint() + std::chrono::duration_cast<Duration>(kSpan) / prompts * i;
    while (!under_way.empty() && under_way.begin()->first <= now) {
      const UnderWay& ended = under_way.begin()->second;
      ServerTable& host = hosts[ended.host];
      host.NoteFirstOutput(ended.server, kText + kOwn);
      for (const PrefixBlock& part : ended.prefix_blocks) {
        host.NotePrefix(ended.server, part.digest);
      }
      host.NoteFinished(ended.server, HealthSignal::kAnswered,
                        under_way.begin()->first, now);
      under_way.erase(under_way.begin());
    }
    const std::size_t text =
        std::min(random.Below(kTexts), random.Below(kTexts));
    ServerQuery query;
    query.target = "drafter";
    query.prompt_tokens = kText + kOwn;
    query.prefix_blocks = {{1 + text, kText},
                           {1'000 + static_cast<std::uint64_t>(i), kOwn}};
    query.affinity = gathers ? 1 + text : 0;
    query.affinity_tokens = gathers ? kText : 0;
    const std::size_t host = random.Below(hosts.size());
    const auto choice = hosts[host].Pick(query, now, random);
    hosts[host].NoteSent(choice->name, query.prompt_tokens, now);
    const auto engine =
        static_cast<std::size_t>(std::stoi(choice->name.Text()));
    const TimePoint read = engines[engine].Take(query.prefix_blocks, now);
    under_way.emplace(read, UnderWay{host, choice->name, query.prefix_blocks});
    result.mean_wait += (read - now) / prompts;
    result.longest_wait = std::max(result.longest_wait, read - now);
  }
  for (const ReadingEngine& engine : engines) {
    result.shared_read += engine.SharedRead();
  }
  return result;
}

TEST(PlacementUnderLoad, GatheredPromptsAreReadLessOftenAndWaitLess) {
  // The engines can read 270,000 tokens a second; 60 whole prompts have
  // 528,000.
  const ReplayResult spread = Replay(false, 60);
  const ReplayResult gathered = Replay(true, 60);
  EXPECT_LT(gathered.shared_read, spread.shared_read / 2);
  EXPECT_LT(gathered.mean_wait, spread.mean_wait);
  EXPECT_LT(gathered.longest_wait, spread.longest_wait);
}

TEST(PlacementUnderLoad, OnACalmDayGatheringKeepsNobodyWaiting) {
  const ReplayResult gathered = Replay(true, 10);
  // One prompt read whole, and as much again before it.
  EXPECT_LT(gathered.longest_wait, milliseconds(2 * 8'800 / 30 + 1));
}

}  // namespace
}  // namespace tamarackwing::policy
