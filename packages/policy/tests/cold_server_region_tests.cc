//! The hosts of a region before one server that crashes and starts again: what
//! they send to it together while their views and their news differ.

#include <gtest/gtest.h>

#include <deque>
#include <memory>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/policy/rendezvous.h"
#include "tamarackwing/policy/server_table.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BackendServerName kServer("i-1");
constexpr milliseconds kStep{5};
//! How often a host fetches reports, and tells others what it has seen.
constexpr milliseconds kFetch{500};
constexpr milliseconds kTell{50};
constexpr milliseconds kReportInterval{1'200};
constexpr milliseconds kWarmUp{3'000};
constexpr std::uint32_t kColdRate = 2;
//! Messages between hosts that do not arrive.
constexpr std::uint64_t kLostPercent = 5;
//! What a cold server bears in one second, as the users state it.
constexpr std::size_t kAllowed = 6;

//! What a region's hosts do not share in a case.
struct RegionCase {
  int hosts = 0;
  //! Requests per second for the server, all hosts together, while it is warm.
  int rate = 0;
  milliseconds down{0};
  //! Hosts whose reports come this much later.
  int late_hosts = 0;
  milliseconds late{0};
  //! Hosts that believe that half of the others are gone.
  int split_hosts = 0;
};

class Region {
 public:
  Region(const RegionCase& given, std::uint64_t seed)
      : given(given), random(seed) {
    for (int i = 0; i < given.hosts; ++i) {
      Host& host = *this->hosts.emplace_back(std::make_unique<Host>());
      host.name = HostName("h" + std::to_string(i));
      host.fetch_at =
          this->now + milliseconds(this->random.Below(kFetch.count()));
      host.tell_at =
          this->now + milliseconds(this->random.Below(kTell.count()));
    }
    for (int i = 0; i < given.hosts; ++i) {
      for (int j = 0; j < given.hosts; ++j) {
        const bool is_split = i < given.split_hosts && i != j;
        if (!is_split || this->random.Below(2) == 0) {
          this->hosts[i]->live.push_back(this->hosts[j]->name);
        }
      }
    }
    this->Report();
  }

  //! Runs for some time; the server is down between `crash` and `crash + down`.
  void Run(Duration span, std::optional<Duration> crash = {}) {
    const TimePoint until = this->now + span;
    if (crash) {
      this->crash_at = this->now + *crash;
      this->return_at = *this->crash_at + this->given.down;
    }
    while (this->now < until) {
      this->Step();
      this->now += kStep;
    }
  }

  //! Returns the most requests that reached the server within a second while it
  //! was cold.
  std::size_t MostWhileCold() const {
    std::size_t most = 0;
    for (std::size_t i = 0; i < this->cold_arrivals.size(); ++i) {
      std::size_t j = i;
      while (j < this->cold_arrivals.size() &&
             this->cold_arrivals[j] - this->cold_arrivals[i] < seconds(1)) {
        ++j;
      }
      most = std::max(most, j - i);
    }
    return most;
  }
  //! Returns the requests that reached the server in the last second.
  std::size_t LatelyArrived() const {
    return static_cast<std::size_t>(std::count_if(
        this->arrivals.begin(), this->arrivals.end(),
        [&](TimePoint at) { return this->now - at <= seconds(1); }));
  }

 private:
  struct Stream {
    ServerChoice choice;
    TimePoint opened;
    TimePoint until;
  };
  struct Host {
    HostName name;
    ServerTable table{ServerTableLimits()};
    std::vector<HostName> live;
    TimePoint fetch_at;
    TimePoint tell_at;
    std::deque<Stream> streams;
  };
  struct Message {
    TimePoint at;
    std::size_t to = 0;
    std::vector<ServerDoubt> doubts;
  };

  bool IsDown() const {
    return this->crash_at && this->now >= *this->crash_at &&
           this->now < this->return_at;
  }
  bool IsCold() const {
    return this->crash_at && this->now >= this->return_at &&
           this->now < this->return_at + kWarmUp;
  }

  void Report() {
    ServerReport report;
    report.name = kServer;
    report.address = "10.0.0.1";
    report.port = 80;
    report.targets = {"desk"};
    report.slots = 64;
    report.started = this->crash_at && this->now >= this->return_at
                         ? milliseconds(2)
                         : milliseconds(1);
    report.sequence = ++this->sequence;
    if (this->IsCold()) {
      report.cold_for = std::chrono::ceil<milliseconds>(this->return_at +
                                                        kWarmUp - this->now);
    }
    this->reports.emplace_back(this->now, report);
    this->report_at = this->now + kReportInterval;
  }

  void Step() {
    if (this->crash_at && this->now >= *this->crash_at && !this->has_crashed) {
      this->has_crashed = true;
      this->BreakStreams();
    }
    if (this->has_crashed && !this->has_returned && !this->IsDown()) {
      this->has_returned = true;
      this->sequence = 0;
      this->Report();
    }
    if (!this->IsDown() && this->now >= this->report_at) {
      this->Report();
    }
    this->Deliver();
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      this->Fetch(i);
      this->Tell(i);
      for (const Stream& stream : this->hosts[i]->streams) {
        this->hosts[i]->table.NoteAlive(kServer, stream.opened, this->now);
      }
    }
    const std::uint64_t steps_a_second = seconds(1) / kStep;
    if (this->random.Below(steps_a_second) <
        static_cast<std::uint64_t>(this->given.rate)) {
      this->Send(*this->hosts[this->random.Below(this->hosts.size())]);
    }
  }

  void BreakStreams() {
    for (const auto& host : this->hosts) {
      for (const Stream& stream : host->streams) {
        host->table.NoteLostConnection(stream.choice, stream.opened, this->now);
        host->table.NoteFinished(kServer, HealthSignal::kBroken, stream.opened,
                                 this->now);
      }
      host->streams.clear();
    }
  }

  void Deliver() {
    std::erase_if(this->messages, [&](const Message& message) {
      if (message.at > this->now) {
        return false;
      }
      for (const ServerDoubt& doubt : message.doubts) {
        this->hosts[message.to]->table.NoteDoubt(doubt, this->now);
      }
      return true;
    });
  }

  void Fetch(std::size_t number) {
    Host& host = *this->hosts[number];
    if (this->now < host.fetch_at) {
      return;
    }
    host.fetch_at += kFetch;
    const bool is_late = static_cast<int>(number) < this->given.late_hosts;
    const TimePoint newest =
        this->now - (is_late ? this->given.late : milliseconds(10));
    for (auto report = this->reports.rbegin(); report != this->reports.rend();
         ++report) {
      if (report->first <= newest) {
        ServerReport fetched = report->second;
        fetched.relayed_for =
            std::chrono::ceil<milliseconds>(this->now - report->first);
        host.table.Announce(fetched, this->now);
        return;
      }
    }
  }

  void Tell(std::size_t number) {
    Host& host = *this->hosts[number];
    if (this->now < host.tell_at) {
      return;
    }
    host.tell_at += kTell;
    const std::vector<ServerDoubt> doubts = host.table.TakeDoubts(this->now);
    for (std::size_t to = 0; !doubts.empty() && to < this->hosts.size(); ++to) {
      const bool is_lost = this->random.Below(100) < kLostPercent;
      if (to != number && !is_lost) {
        const milliseconds delay(1 + this->random.Below(20));
        this->messages.push_back({this->now + delay, to, doubts});
      }
    }
  }

  void Send(Host& host) {
    while (!host.streams.empty() && host.streams.front().until <= this->now) {
      host.table.NoteFinished(kServer, HealthSignal::kAnswered,
                              host.streams.front().opened, this->now);
      host.streams.pop_front();
    }
    ServerQuery query;
    query.target = "desk";
    query.cold_allowance = [&](const BackendServerName& name) {
      return IsAmongOwners(RendezvousKey(name.Text()), host.name, host.live,
                           kColdRate)
                 ? 1U
                 : 0U;
    };
    const auto choice = host.table.Pick(query, this->now, this->random);
    if (!choice) {
      return;
    }
    host.table.NoteSent(kServer, 0, this->now);
    if (this->IsDown()) {
      host.table.NoteRefusedConnection(*choice, this->now);
      host.table.NoteFinished(kServer, HealthSignal::kUnreachable, this->now,
                              this->now);
      return;
    }
    this->arrivals.push_back(this->now);
    if (this->IsCold()) {
      this->cold_arrivals.push_back(this->now);
    }
    host.streams.push_back({*choice, this->now, this->now + seconds(2)});
  }

  RegionCase given;
  SeededRandom random;
  TimePoint now{std::chrono::hours(1)};
  std::optional<TimePoint> crash_at;
  TimePoint return_at;
  bool has_crashed = false;
  bool has_returned = false;
  std::uint64_t sequence = 0;
  TimePoint report_at;
  std::deque<std::pair<TimePoint, ServerReport>> reports;
  std::vector<Message> messages;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<TimePoint> arrivals;
  std::vector<TimePoint> cold_arrivals;
};

class ColdServerRegionTest : public testing::TestWithParam<RegionCase> {};

// Guards against a flood by all hosts together of a server that starts again
// (issue 64).
TEST_P(ColdServerRegionTest, HostsTogetherSendNoMoreThanAColdServerBears) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Region region(GetParam(), seed);
    region.Run(seconds(5));
    region.Run(seconds(8), seconds(1));
    EXPECT_LE(region.MostWhileCold(), kAllowed) << "seed " << seed;
  }
}

TEST_P(ColdServerRegionTest, ServerGetsItsShareAgainOnceItHasReportedWarm) {
  Region region(GetParam(), 1);
  region.Run(seconds(5));
  region.Run(seconds(1) + GetParam().down + kWarmUp + kReportInterval + kFetch +
                 GetParam().late + seconds(1),
             seconds(1));
  EXPECT_GE(region.LatelyArrived(),
            static_cast<std::size_t>(GetParam().rate) / 2);
}

INSTANTIATE_TEST_SUITE_P(
    Regions,
    ColdServerRegionTest,
    testing::Values(
        RegionCase{27, 10, milliseconds(1'200)},
        RegionCase{27, 10, milliseconds(200)},
        RegionCase{97, 20, milliseconds(1'200)},
        RegionCase{2, 10, milliseconds(1'200), 1, milliseconds(4'000)},
        RegionCase{97, 20, milliseconds(200), 97, milliseconds(1'500)},
        RegionCase{27, 20, milliseconds(1'200), 9, milliseconds(4'000)},
        RegionCase{27, 20, milliseconds(4'000), 0, milliseconds(0), 9}));

}  // namespace
}  // namespace tamarackwing::policy
