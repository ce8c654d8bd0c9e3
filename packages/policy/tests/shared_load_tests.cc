#include "tamarackwing/policy/shared_load.h"

#include <gtest/gtest.h>

#include <map>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/policy/load_board.h"
#include "tamarackwing/policy/server_table.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{250};
const TimePoint kStart = TimePoint() + std::chrono::hours(1);

ServerUse Use(std::uint32_t server,
              std::uint32_t running,
              std::uint32_t pauses = 0,
              milliseconds pause_sum = milliseconds(0)) {
  return {server, running, 0, pauses, pause_sum};
}

LoadSummary Summary(std::uint64_t number, std::vector<ServerUse> uses) {
  return {number, std::move(uses), 1};
}

BackendServerName NameOf(int server) {
  return BackendServerName("server-" + std::to_string(server));
}

void AnnounceServers(ServerTable& table, int count) {
  for (int server = 0; server < count; ++server) {
    ServerReport report;
    report.name = NameOf(server);
    report.targets = {"drafter"};
    report.slots = 16;
    report.address = "10.0.0.1";
    report.port = static_cast<std::uint16_t>(1'000 + server);
    table.Announce(report, kStart);
  }
}

// Guards against a host's own requests being counted twice.
TEST(SharedLoadTest, SubtractsWhatTheHostReported) {
  SharedLoad shared;
  const LoadReport report = shared.MakeReport({Use(1, 4)}, kStart);
  shared.Accept(Summary(report.number, {Use(1, 10), Use(2, 3)}), {});
  EXPECT_EQ(shared.OthersOn(1).running, 6U);
  EXPECT_EQ(shared.OthersOn(2).running, 3U);
  EXPECT_EQ(shared.OthersOn(3).running, 0U);
}

// Guards against summaries that are lost, late, repeated, or replies to an
// earlier process of the host.
TEST(SharedLoadTest, AppliesOnlyNewerReplies) {
  SharedLoad shared;
  const LoadReport first = shared.MakeReport({}, kStart);
  const LoadReport second = shared.MakeReport({}, kStart + kInterval);
  shared.Accept(Summary(second.number, {Use(1, 5)}), {});
  shared.Accept(Summary(first.number, {Use(1, 9)}), {});
  shared.Accept(Summary(second.number, {Use(1, 9)}), {});
  shared.Accept(Summary(second.number + 1, {Use(1, 9)}), {});
  EXPECT_EQ(shared.OthersOn(1).running, 5U);
}

// Guards against decisions on old information: its age counts from the report
// that the summary replies to, not from its arrival.
TEST(SharedLoadTest, SummariesExpire) {
  SharedLoad shared;
  EXPECT_FALSE(shared.IsFresh(kStart));
  const LoadReport report = shared.MakeReport({}, kStart);
  shared.Accept(Summary(report.number, {}), {});
  EXPECT_TRUE(shared.IsFresh(kStart + kLoadReportLife / 2));
  EXPECT_FALSE(shared.IsFresh(kStart + kLoadReportLife));
}

TEST(SharedLoadTest, ComparesPausesWithinATarget) {
  SharedLoad shared;
  const LoadReport report = shared.MakeReport({}, kStart);
  shared.Accept(Summary(report.number, {Use(1, 5, 400, milliseconds(16'000)),
                                        Use(2, 5, 400, milliseconds(16'000)),
                                        Use(3, 5, 400, milliseconds(32'000)),
                                        Use(9, 5, 400, milliseconds(400'000))}),
                {{1, 2, 3}, {9}});
  EXPECT_NEAR(shared.SlownessOf(1), 1, 0.01);
  EXPECT_NEAR(shared.SlownessOf(3), 2, 0.1);
  EXPECT_EQ(shared.SlownessOf(9), 1);
}

// Guards against a speed that is learned from a handful of pauses.
TEST(SharedLoadTest, FewPausesSayLittle) {
  SharedLoad shared;
  const LoadReport report = shared.MakeReport({}, kStart);
  shared.Accept(Summary(report.number, {Use(1, 5, 400, milliseconds(16'000)),
                                        Use(2, 5, 400, milliseconds(16'000)),
                                        Use(3, 1, 2, milliseconds(400))}),
                {{1, 2, 3}});
  EXPECT_LT(shared.SlownessOf(3), 1.5);
}

//! Hosts of one region that place streams onto its servers, each by its own
//! table, and the region's load collector. A server's streams pause in
//! proportion to its load and to its slowness.
class SharedRegion {
 public:
  static constexpr std::size_t kHosts = 5;
  static constexpr int kServers = 8;

  explicit SharedRegion(bool shares_loads) {
    ServerTableLimits limits;
    limits.ramp = milliseconds(0);
    limits.lease = std::chrono::seconds(60);
    limits.shares_loads = shares_loads;
    for (std::size_t i = 0; i < kHosts; ++i) {
      this->tables.emplace_back(limits);
    }
    for (ServerTable& table : this->tables) {
      AnnounceServers(table, kServers);
    }
  }

  //! Each host starts a stream every 125 ms; a stream ends after `kEvents`
  //! events.
  void Run(Duration span) {
    constexpr milliseconds kStep{125};
    for (const TimePoint end = this->now + span; this->now < end;
         this->now += kStep) {
      for (std::size_t host = 0; host < kHosts; ++host) {
        this->StartStream(host);
      }
      this->MakeEvents(kStep);
      if (this->step++ % 2 == 0) {
        this->Share();
      }
    }
  }

  double LoadOf(int server) const {
    double load = 0;
    for (const Stream& stream : this->streams) {
      load += stream.server == server ? 1 : 0;
    }
    return load;
  }

  double MaxPauseMs() const {
    double longest = 0;
    for (int server = 0; server < kServers; ++server) {
      longest = std::max(longest, this->PauseMs(server));
    }
    return longest;
  }

  std::map<int, double> slowness;
  //! Streams that each server has got.
  std::map<int, int> started;

 private:
  struct Stream {
    std::size_t host = 0;
    int server = 0;
    double events = 0;
  };
  static constexpr double kEvents = 40;

  double PauseMs(int server) const {
    const auto found = this->slowness.find(server);
    return (20 + 4 * this->LoadOf(server)) *
           (found == this->slowness.end() ? 1 : found->second);
  }

  void StartStream(std::size_t host) {
    ServerQuery query;
    query.target = "drafter";
    const auto choice = this->tables[host].Pick(query, this->now, this->random);
    ASSERT_TRUE(choice);
    this->tables[host].NoteSent(choice->name, 0, this->now);
    const int server = std::stoi(choice->name.Text().substr(7));
    this->started[server] += 1;
    this->streams.push_back({host, server, 0});
  }

  void MakeEvents(milliseconds step) {
    std::map<int, double> pause_ms;
    for (int server = 0; server < kServers; ++server) {
      pause_ms[server] = this->PauseMs(server);
    }
    std::erase_if(this->streams, [&](Stream& stream) {
      const double events =
          static_cast<double>(step.count()) / pause_ms[stream.server];
      const double before = stream.events;
      stream.events += events;
      const auto whole = static_cast<std::uint32_t>(stream.events) -
                         static_cast<std::uint32_t>(before);
      ServerTable& table = this->tables[stream.host];
      if (whole > 0) {
        table.NotePauses(
            NameOf(stream.server), whole,
            milliseconds(static_cast<int>(whole * pause_ms[stream.server])));
      }
      if (stream.events < kEvents) {
        return false;
      }
      table.NoteFinished(NameOf(stream.server), HealthSignal::kAnswered,
                         this->now, this->now);
      return true;
    });
  }

  void Share() {
    for (std::size_t host = 0; host < kHosts; ++host) {
      const LoadReport report = this->tables[host].MakeLoadReport(this->now);
      this->board.Accept(HostName(std::to_string(host)), report, this->now);
      this->tables[host].ApplyLoads(
          this->board.Summarize(report.number, this->now), this->now);
    }
  }

  TimePoint now = kStart;
  int step = 0;
  SeededRandom random{3};
  std::vector<ServerTable> tables;
  LoadBoard board;
  std::vector<Stream> streams;
};

// The load: servers of one service of which a quarter has less than half of the
// speed of the others. Equal numbers of streams make those of the slow ones
// pause twice as long.
TEST(SharedLoadTest, SlowServersGetFewerStreams) {
  SharedRegion even(false);
  SharedRegion learned(true);
  for (SharedRegion* const region : {&even, &learned}) {
    region->slowness = {{0, 2.2}, {1, 2.2}};
    region->Run(std::chrono::seconds(15));
  }
  EXPECT_LT(learned.MaxPauseMs(), even.MaxPauseMs());
  EXPECT_LT(learned.LoadOf(0) + learned.LoadOf(1),
            learned.LoadOf(2) + learned.LoadOf(3));
  EXPECT_GT(learned.LoadOf(0) + learned.LoadOf(1), 0);
}

// Guards against a speed that outlives its cause: a server that recovers gets
// its share back, which requires that an avoided server is still tried.
TEST(SharedLoadTest, ServersThatRecoverGetTheirShareBack) {
  SharedRegion region(true);
  region.slowness = {{0, 3.0}};
  region.Run(std::chrono::seconds(10));
  const double slow = region.LoadOf(0);
  region.slowness.clear();
  region.Run(std::chrono::seconds(15));
  const auto started = region.started;
  region.Run(std::chrono::seconds(10));
  double others = 0;
  for (int server = 1; server < SharedRegion::kServers; ++server) {
    others += 1.0 * (region.started[server] - started.at(server)) /
              (SharedRegion::kServers - 1);
  }
  EXPECT_LT(slow, region.LoadOf(1));
  EXPECT_GT(region.started[0] - started.at(0), others * 3 / 4);
}

//! A table of servers that has got a summary in which the first server has
//! `running` requests of other hosts.
class SharedTableTest : public testing::Test {
 protected:
  ServerTable MakeTable(bool shares_loads, std::uint32_t running) {
    ServerTableLimits limits;
    limits.ramp = milliseconds(0);
    limits.lease = std::chrono::minutes(10);
    limits.shares_loads = shares_loads;
    ServerTable table(limits);
    AnnounceServers(table, kServers);
    const LoadReport report = table.MakeLoadReport(kStart);
    table.ApplyLoads(
        Summary(report.number, {Use(ServerIdOf(NameOf(0)), running)}), kStart);
    return table;
  }

  std::map<std::string, int> Pick(const ServerTable& table,
                                  const ServerQuery& query,
                                  TimePoint now = kStart) {
    std::map<std::string, int> picks;
    for (int i = 0; i < 200; ++i) {
      picks[table.Pick(query, now, this->random)->name.Text()] += 1;
    }
    return picks;
  }

  static constexpr int kServers = 16;
  SeededRandom random{5};
};

// Guards against a switch that does not turn the part off, and against
// summaries that are used for longer than they are true.
TEST_F(SharedTableTest, OthersCountOnlyWithTheSwitchAndWhileTheyAreRecent) {
  ServerQuery query;
  query.target = "drafter";
  const std::string busy = NameOf(0).Text();
  EXPECT_GT(this->Pick(this->MakeTable(false, 40), query)[busy], 0);
  const ServerTable shared = this->MakeTable(true, 40);
  EXPECT_EQ(this->Pick(shared, query)[busy], 0);
  EXPECT_GT(this->Pick(shared, query, kStart + kLoadReportLife)[busy], 0);
}

// The load: as many long prompts as streams. A stream on a server that prefills
// long prompts pauses at each of its events.
TEST_F(SharedTableTest, LongPromptsAndStreamsUseDifferentServers) {
  ServerTable table = this->MakeTable(true, 0);
  ServerQuery stream;
  stream.target = "drafter";
  stream.prompt_tokens = 600;
  stream.output_tokens = 300;
  stream.pause_allowance = milliseconds(600);
  ServerQuery prompt = stream;
  prompt.prompt_tokens = 9'000;
  prompt.output_tokens = 50;
  prompt.is_long_prompt = true;
  for (int i = 0; i < 200; ++i) {
    for (const ServerQuery& query : {stream, prompt}) {
      table.NoteWork(query, *table.Pick(query, kStart, this->random), kStart);
    }
  }
  const auto streams = this->Pick(table, stream);
  const auto prompts = this->Pick(table, prompt);
  for (const auto& [server, count] : streams) {
    EXPECT_FALSE(prompts.contains(server)) << server;
  }
  EXPECT_GT(prompts.size(), 1U);
}

// Guards against an estimate that is always too short: under overload it would
// admit what cannot be served in time.
TEST_F(SharedTableTest, WaitsGrowWithTheDelayOfFirstOutputs) {
  ServerTable table = this->MakeTable(true, 0);
  ServerQuery query;
  query.target = "drafter";
  query.prompt_tokens = 3'000;
  query.pause_allowance = milliseconds(600);
  for (int server = 0; server < kServers; ++server) {
    table.NoteSent(NameOf(server), 30'000, kStart);
  }
  const Duration before = table.Pick(query, kStart, this->random)->wait;
  ASSERT_GE(before, milliseconds(900));
  for (int i = 0; i < 200; ++i) {
    const auto choice = table.Pick(query, kStart, this->random);
    table.NoteFirstDelay("drafter", *choice, 3 * choice->plain_first, kStart);
  }
  const Duration after = table.Pick(query, kStart, this->random)->wait;
  EXPECT_NEAR(static_cast<double>(after / milliseconds(1)),
              static_cast<double>(3 * before / milliseconds(1)), 100);
  // Guards against a ratio that outlives its cause once nothing is admitted.
  const LoadReport report =
      table.MakeLoadReport(kStart + std::chrono::minutes(1));
  table.ApplyLoads(Summary(report.number, {}),
                   kStart + std::chrono::minutes(1));
  EXPECT_NEAR(
      static_cast<double>(
          table.Pick(query, kStart + std::chrono::minutes(1), this->random)
              ->wait /
          milliseconds(1)),
      static_cast<double>(before / milliseconds(1)), 50);
}

// Guards against the refusal of requests whose callers state a large maximum:
// few outputs reach it, and a server would have time for them.
TEST_F(SharedTableTest, RunTimeIsNoLongerThanTheAverage) {
  ServerTable table = this->MakeTable(true, 0);
  ServerQuery query;
  query.target = "drafter";
  query.output_tokens = 1'000;
  EXPECT_EQ(table.Pick(query, kStart, this->random)->run, Duration::zero());
  table.NoteRun("drafter", milliseconds(2'000));
  EXPECT_EQ(table.Pick(query, kStart, this->random)->run, milliseconds(2'000));
  query.output_tokens = 50;
  EXPECT_EQ(table.Pick(query, kStart, this->random)->run, milliseconds(1'000));
}

}  // namespace
}  // namespace tamarackwing::policy
