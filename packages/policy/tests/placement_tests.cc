//! Placement of prompts with common prefixes on engines with a prefix cache.

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

TEST(Placement, GroupStaysOnItsServerUntilWaitExceedsSeveralPrefills) {
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

// Guards against prefixes that all move, and are prefilled again, when the
// speed of one server changes.
TEST(Placement, FasterServersOwnMoreGroups) {
  constexpr std::uint64_t kGroups = 2'000;
  SeededRandom random(1);
  std::vector<PlacementOption> options{
      Option("a", milliseconds(0), milliseconds(10)),
      Option("b", milliseconds(0), milliseconds(10)),
      Option("c", milliseconds(0), milliseconds(10))};
  std::map<std::size_t, int> owned;
  int moved = 0;
  for (std::uint64_t group = 1; group <= kGroups; ++group) {
    options[0].speed = 1;
    const std::size_t before = ChoosePlacement(options, {group, {}}, random);
    options[0].speed = 2.25;
    const std::size_t owner = ChoosePlacement(options, {group, {}}, random);
    owned[owner] += 1;
    moved += owner != before && owner != 0 ? 1 : 0;
  }
  EXPECT_EQ(moved, 0);
  EXPECT_NEAR(1.0 * owned[0] / owned[1], 2.25, 0.35);
}

TEST(Placement, PromptWithoutGroupGoesToServerWithLowestCost) {
  SeededRandom random(1);
  const std::vector<PlacementOption> options{
      Option("a", milliseconds(0), milliseconds(200)),
      Option("b", milliseconds(20), milliseconds(80))};
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(ChoosePlacement(options, {}, random), 1U);
  }
}

//! Simulates an engine that prefills one prompt at a time and has an LRU cache
//! of prefix blocks.
class SimulatedEngine {
 public:
  //! Queues a prompt; returns when its prefill finishes.
  TimePoint Prefill(const std::vector<PrefixBlock>& prefix_blocks,
                    TimePoint now) {
    TokenCount missing = 0;
    bool all_cached = true;
    for (const PrefixBlock& block : prefix_blocks) {
      all_cached = all_cached && this->positions.contains(block.digest);
      if (!all_cached) {
        missing += block.tokens;
        this->shared_prefill +=
            block.digest == prefix_blocks.back().digest ? 0 : block.tokens;
      }
      this->Cache(block);
    }
    const double seconds = static_cast<double>(missing) / kTokensPerSecond;
    this->free_at = std::max(this->free_at, now) +
                    std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(seconds));
    return this->free_at;
  }
  //! Returns the prefilled tokens of shared prefixes.
  TokenCount SharedPrefill() const { return this->shared_prefill; }

 private:
  static constexpr double kTokensPerSecond = 30'000;
  static constexpr TokenCount kCacheTokens = 200'000;

  void Cache(const PrefixBlock& block) {
    const auto position = this->positions.find(block.digest);
    if (position != this->positions.end()) {
      this->lru.erase(position->second);
      this->used -= block.tokens;
    }
    this->lru.push_back(block);
    this->positions[block.digest] = std::prev(this->lru.end());
    this->used += block.tokens;
    while (this->used > kCacheTokens) {
      this->used -= this->lru.front().tokens;
      this->positions.erase(this->lru.front().digest);
      this->lru.pop_front();
    }
  }

  TimePoint free_at;
  TokenCount used = 0;
  TokenCount shared_prefill = 0;
  std::list<PrefixBlock> lru;
  std::map<std::uint64_t, std::list<PrefixBlock>::iterator> positions;
};

//! Result of a simulated load.
struct ReplayResult {
  TokenCount shared_prefill = 0;
  Duration mean_wait{};
  Duration longest_wait{};
};

//! Simulates two hosts, which know only of the requests they have sent, and
//! nine engines. In each second `rate` prompts arrive, each about one of forty
//! documents with unequal popularity. `affinity_on` turns on prefix-cache
//! affinity.
ReplayResult Replay(bool affinity_on, int rate) {
  constexpr int kEngines = 9;
  constexpr int kDocuments = 40;
  constexpr TokenCount kPrefixTokens = 6'000;
  constexpr TokenCount kOwnTokens = 2'800;
  constexpr std::chrono::seconds kSpan{20};
  ServerTableLimits limits;
  limits.lease = std::chrono::hours(1);
  limits.ramp = milliseconds(0);
  limits.prefill_rate = 8'000;
  SeededRandom random(20261204);
  std::vector<ServerTable> hosts;
  std::vector<SimulatedEngine> engines(kEngines);
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
  struct InFlight {
    std::size_t host;
    BackendServerName server;
    std::vector<PrefixBlock> prefix_blocks;
  };
  std::multimap<TimePoint, InFlight> in_flight;
  ReplayResult result;
  const int prompts = rate * static_cast<int>(kSpan.count());
  for (int i = 0; i < prompts; ++i) {
    const TimePoint now =
        TimePoint() + std::chrono::duration_cast<Duration>(kSpan) / prompts * i;
    while (!in_flight.empty() && in_flight.begin()->first <= now) {
      const InFlight& ended = in_flight.begin()->second;
      ServerTable& host = hosts[ended.host];
      host.NoteFirstOutput(ended.server, kPrefixTokens + kOwnTokens);
      for (const PrefixBlock& block : ended.prefix_blocks) {
        host.NotePrefix(ended.server, block.digest);
      }
      host.NoteFinished(ended.server, HealthSignal::kAnswered,
                        in_flight.begin()->first, now);
      in_flight.erase(in_flight.begin());
    }
    const std::size_t document =
        std::min(random.Below(kDocuments), random.Below(kDocuments));
    ServerQuery query;
    query.target = "drafter";
    query.prompt_tokens = kPrefixTokens + kOwnTokens;
    query.prefix_blocks = {{1 + document, kPrefixTokens},
                           {1'000 + static_cast<std::uint64_t>(i), kOwnTokens}};
    query.affinity = affinity_on ? 1 + document : 0;
    query.affinity_tokens = affinity_on ? kPrefixTokens : 0;
    const std::size_t host = random.Below(hosts.size());
    const auto choice = hosts[host].Pick(query, now, random);
    hosts[host].NoteSent(choice->name, query.prompt_tokens, now);
    const auto engine =
        static_cast<std::size_t>(std::stoi(choice->name.Text()));
    const TimePoint prefilled =
        engines[engine].Prefill(query.prefix_blocks, now);
    in_flight.emplace(prefilled,
                      InFlight{host, choice->name, query.prefix_blocks});
    result.mean_wait += (prefilled - now) / prompts;
    result.longest_wait = std::max(result.longest_wait, prefilled - now);
  }
  for (const SimulatedEngine& engine : engines) {
    result.shared_prefill += engine.SharedPrefill();
  }
  return result;
}

TEST(PlacementUnderLoad, AffinityReducesRepeatedPrefillsAndWaits) {
  // The engines can prefill 270,000 tokens per second; 60 prompts have 528,000
  // in total.
  const ReplayResult spread = Replay(false, 60);
  const ReplayResult co_located = Replay(true, 60);
  EXPECT_LT(co_located.shared_prefill, spread.shared_prefill / 2);
  EXPECT_LT(co_located.mean_wait, spread.mean_wait);
  EXPECT_LT(co_located.longest_wait, spread.longest_wait);
}

TEST(PlacementUnderLoad, AffinityDoesNotAddWaitsUnderLightLoad) {
  const ReplayResult co_located = Replay(true, 10);
  // The time of two complete prefills: that of the prompt itself and that of
  // one prompt queued before it.
  EXPECT_LT(co_located.longest_wait, milliseconds(2 * 8'800 / 30 + 1));
}

}  // namespace
}  // namespace tamarackwing::policy
