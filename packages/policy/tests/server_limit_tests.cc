//! Tests of limits on requests per second that servers name, as the hosts of a
//! region share them.

#include <gtest/gtest.h>

#include <deque>
#include <map>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/policy/server_table.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BackendServerName kServer("i-1");

ServerReport Report(const std::string& name) {
  ServerReport report;
  report.name = BackendServerName(name);
  report.data_centre = DataCentreName("a");
  report.address = "10.0.0.1";
  report.port = static_cast<std::uint16_t>(80 + name.back());
  report.targets = {"desk"};
  report.slots = 1'000;
  report.started = milliseconds(100);
  return report;
}

ServerQuery Query() {
  ServerQuery query;
  query.target = "desk";
  return query;
}

//! The hosts of one region before one server, and their traffic.
class Region {
 public:
  explicit Region(std::size_t hosts, std::uint64_t seed = 1) : random(seed) {
    ServerTableLimits limits;
    limits.ramp = milliseconds(0);
    limits.lease = std::chrono::hours(1);
    for (std::size_t i = 0; i < hosts; ++i) {
      this->tables.emplace(HostName("h" + std::to_string(i)),
                           ServerTable(limits));
    }
    for (auto& [name, table] : this->tables) {
      table.Announce(Report("i-1"), this->now);
    }
    this->ShareAmongAll();
  }

  void ShareAmongAll() {
    std::vector<HostName> names;
    for (const auto& [name, table] : this->tables) {
      names.push_back(name);
    }
    for (auto& [name, table] : this->tables) {
      table.SetSharers(name, names);
    }
  }

  void Name(std::optional<std::uint64_t> per_kilosecond) {
    for (auto& [name, table] : this->tables) {
      table.NoteLimit({kServer, per_kilosecond, this->now}, this->now);
    }
  }

  //! Offers `attempts` requests at random hosts, 10 ms after the last ones.
  void Offer(std::size_t attempts) {
    this->now += milliseconds(10);
    for (std::size_t i = 0; i < attempts; ++i) {
      auto host = this->tables.begin();
      std::advance(host, this->random.Below(this->tables.size()));
      this->OfferAt(host->second);
    }
  }

  void OfferAt(ServerTable& table) {
    if (table.Pick(Query(), this->now, this->random)) {
      table.NoteSent(kServer, 0, this->now);
      table.NoteFinished(kServer, HealthSignal::kAnswered, this->now,
                         this->now);
      this->sent.push_back(this->now);
    }
  }

  //! Returns the most requests in any 4 s, from `from` on.
  std::size_t MostInFourSeconds(TimePoint from) const {
    std::size_t most = 0;
    std::deque<TimePoint> window;
    for (const TimePoint at : this->sent) {
      if (at < from) {
        continue;
      }
      window.push_back(at);
      while (at - window.front() > seconds(4)) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }

  std::map<HostName, ServerTable> tables;
  SeededRandom random;
  TimePoint now{std::chrono::hours(1)};
  std::vector<TimePoint> sent;
};

//! What a server may get in 4 s of all hosts: one and a half times its limit,
//! and five requests.
double Allowed(std::uint64_t per_kilosecond) {
  return 1.5 * 4 * static_cast<double>(per_kilosecond) / 1'000 + 5;
}

TEST(ServerLimitTest, ServerThatNamesALimitDoesNotGetMoreFromAllHosts) {
  for (const std::size_t hosts : {1U, 2U, 3U, 28U}) {
    for (const std::uint64_t limit : {0U, 300U, 1'300U, 3'100U, 50'000U}) {
      Region region(hosts, 1 + limit + hosts);
      region.Name(limit);
      const TimePoint start = region.now;
      for (int i = 0; i < 9'000; ++i) {
        region.Offer(4);
        // Answers go on naming the limit.
        if (i % 100 == 0) {
          region.Name(limit);
        }
      }
      EXPECT_LE(static_cast<double>(region.MostInFourSeconds(start)),
                Allowed(limit))
          << hosts << " hosts, limit " << limit;
      // 90 seconds, at three quarters of the limit at least.
      EXPECT_GE(static_cast<double>(region.sent.size()),
                0.75 * 90 * static_cast<double>(limit) / 1'000)
          << hosts << " hosts, limit " << limit;
    }
  }
}

TEST(ServerLimitTest, HostsThatStopAndStartPassTheirSharesOn) {
  constexpr std::uint64_t kLimit = 6'000;
  Region region(3);
  region.Name(kLimit);
  const TimePoint start = region.now;
  for (int i = 0; i < 3'000; ++i) {
    region.Offer(4);
    if (i % 100 == 0) {
      region.Name(kLimit);
    }
    if (i == 1'000) {
      region.tables.erase(HostName("h0"));
      region.ShareAmongAll();
    }
    if (i == 1'700) {
      ServerTableLimits limits;
      limits.lease = std::chrono::hours(1);
      ServerTable& fresh =
          region.tables.emplace(HostName("h0"), ServerTable(limits))
              .first->second;
      fresh.Announce(Report("i-1"), region.now);
      region.Name(kLimit);
      region.ShareAmongAll();
    }
  }
  EXPECT_LE(static_cast<double>(region.MostInFourSeconds(start)),
            Allowed(kLimit));
  EXPECT_GE(region.sent.size(), 30U * 6 * 3 / 4);
}

TEST(ServerLimitTest, LimitFollowsTheNewestAnswerAndEnds) {
  Region region(1);
  ServerTable& table = region.tables.begin()->second;
  EXPECT_TRUE(table.NoteLimit({kServer, 1'000, region.now}, region.now));
  const auto older = region.now - seconds(1);
  EXPECT_FALSE(table.NoteLimit({kServer, std::nullopt, older}, region.now));
  region.now += seconds(1);
  region.OfferAt(table);
  region.OfferAt(table);
  EXPECT_EQ(region.sent.size(), 1U);
  region.now += milliseconds(20);
  EXPECT_TRUE(table.NoteLimit({kServer, std::nullopt, region.now}, region.now));
  region.OfferAt(table);
  EXPECT_EQ(region.sent.size(), 2U);
  ASSERT_EQ(table.Limits(region.now).size(), 1U);
  EXPECT_FALSE(table.Limits(region.now)[0].per_kilosecond.has_value());
}

TEST(ServerLimitTest, UnrenewedLimitIsForgotten) {
  Region region(1);
  region.Name(0);
  region.Offer(100);
  EXPECT_LE(region.sent.size(), 1U);
  region.now += seconds(11);
  region.Offer(100);
  EXPECT_GE(region.sent.size(), 100U);
}

TEST(ServerLimitTest, RestartedServerHasNoLimit) {
  Region region(1);
  region.Name(0);
  ServerReport restarted = Report("i-1");
  restarted.started = milliseconds(200);
  region.tables.begin()->second.Announce(restarted, region.now);
  region.Offer(100);
  EXPECT_EQ(region.sent.size(), 100U);
}

TEST(ServerLimitTest, TellsWhenTheNextRequestIsPermitted) {
  Region region(1);
  ServerTable& table = region.tables.begin()->second;
  EXPECT_FALSE(table.NextAllowance("desk", region.now).has_value());
  region.Name(2'000);
  while (table.Pick(Query(), region.now, region.random)) {
    table.NoteSent(kServer, 0, region.now);
  }
  const auto wait = table.NextAllowance("desk", region.now);
  ASSERT_TRUE(wait.has_value());
  EXPECT_GT(*wait, milliseconds(0));
  EXPECT_LE(*wait, milliseconds(500));
  EXPECT_TRUE(
      table.Pick(Query(), region.now + *wait + milliseconds(1), region.random));
}

TEST(ServerLimitTest, RequestThatIsNotSentDoesNotCount) {
  Region region(1);
  ServerTable& table = region.tables.begin()->second;
  region.Name(500);
  region.now += seconds(2);
  table.NoteSent(kServer, 0, region.now);
  EXPECT_FALSE(table.Pick(Query(), region.now, region.random).has_value());
  table.ReturnAllowance(kServer);
  EXPECT_TRUE(table.Pick(Query(), region.now, region.random).has_value());
}

}  // namespace
}  // namespace tamarackwing::policy
