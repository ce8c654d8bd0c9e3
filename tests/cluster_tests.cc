#include <gtest/gtest.h>

#include <array>
#include <future>
#include <map>
#include <optional>
#include <sstream>
#include <vector>

#include "tamarackwing/base/digest.h"
#include "tamarackwing/state/set_parser.h"
#include "test_host.h"

namespace tamarackwing::tests {
namespace {

constexpr std::uint16_t kPort = 21'100;

//! Three hosts in three regions, connected by Cap'n Proto, with one service and
//! one model engine in muscat. The residency rule permits muscat and sohar, not
//! salalah.
class ClusterTest : public testing::Test {
 protected:
  void SetUp() override {
    for (std::size_t i = 0; i < 3; ++i) {
      this->Start(i, true);
    }
    auto set = state::ParseSet(ExampleSet(R"("muscat", "sohar")"));
    ASSERT_TRUE(set.has_value());
    ASSERT_TRUE(PublishInitialSet(*this->hosts[1], *set));
    this->service = this->StartServer("service", {"booking", "gauge"});
    this->engine = this->StartServer("engine", {"drafter@3"});
    ASSERT_TRUE(WaitFor([&] {
      return this->Send(0, ServiceRequest("desk-key", "gauge", "")).status ==
             200;
    }));
    ASSERT_TRUE(WaitFor([&] {
      return this->Send(0, ModelRequest("desk-key", 1, false)).status == 200;
    }));
  }

  void TearDown() override {
    for (auto& host : this->hosts) {
      host.reset();
    }
    this->threads.Stop();
  }

  void Start(std::size_t index, bool bootstraps_log) {
    daemon::Settings settings =
        ClusterSettings(index, kPort, this->folders[index].Path());
    settings.servers.ramp = std::chrono::milliseconds(0);
    this->hosts[index] =
        std::make_unique<daemon::Daemon>(settings, bootstraps_log);
    const auto started = this->hosts[index]->Start();
    ASSERT_TRUE(started.has_value());
  }

  std::unique_ptr<fakes::FakeServer> StartServer(
      const std::string& name,
      std::vector<std::string> targets) {
    const daemon::Settings settings =
        ClusterSettings(0, kPort, this->folders[0].Path());
    fakes::FakeIdentity identity{name,
                                 "muscat",
                                 "muscat-a",
                                 std::move(targets),
                                 {settings.backend_servers}};
    fakes::FakeBehaviour behaviour;
    behaviour.report_lag = std::chrono::milliseconds(10);
    behaviour.announce_every = std::chrono::milliseconds(100);
    auto server =
        std::make_unique<fakes::FakeServer>(this->threads, identity, behaviour);
    EXPECT_NE(server->Start({"127.0.0.1", 0}), 0);
    return server;
  }

  //! Drains and stops hosts together.
  void DrainAndStop(const std::vector<std::size_t>& indices) {
    std::vector<std::future<bool>> drained;
    drained.reserve(indices.size());
    for (const std::size_t index : indices) {
      drained.push_back(std::async(std::launch::async, [this, index] {
        return this->hosts[index]->Drain();
      }));
    }
    for (std::future<bool>& host : drained) {
      EXPECT_TRUE(host.get());
    }
    for (const std::size_t index : indices) {
      this->hosts[index].reset();
    }
  }

  //! Returns whether a host that has just started serves, and has never refused
  //! a call because it drains.
  bool ServesAfterStart(std::size_t index) {
    bool refused = false;
    const bool serves = WaitFor([&] {
      this->hosts[index]->Poll();
      const CallResult result =
          this->Send(index, ModelRequest("desk-key", 1, false));
      refused = refused || result.body.find("draining") != std::string::npos;
      return refused || result.status == 200;
    });
    return serves && !refused;
  }

  //! Returns the values of a gauge on the running hosts that report it.
  std::map<std::size_t, std::string> Reported(const std::string& gauge) {
    std::map<std::size_t, std::string> values;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      if (!this->hosts[i]) {
        continue;
      }
      http::Request request;
      request.head.method = "GET";
      request.head.target = "/metrics";
      request.head.headers.Add("Host", "gateway");
      std::istringstream lines(this->Send(i, std::move(request)).body);
      std::string line;
      while (std::getline(lines, line)) {
        if (line.starts_with(gauge + " ")) {
          values[i] = line.substr(gauge.size() + 1);
        }
      }
    }
    return values;
  }

  CallResult Send(std::size_t host, http::Request request) {
    const daemon::Settings settings =
        ClusterSettings(host, kPort, this->folders[host].Path());
    return Call(this->threads, settings.callers, std::move(request));
  }

  http::IoThreads threads{2};
  std::array<TemporaryFolder, 3> folders;
  std::array<std::unique_ptr<daemon::Daemon>, 3> hosts;
  std::unique_ptr<fakes::FakeServer> service;
  std::unique_ptr<fakes::FakeServer> engine;
};

TEST_F(ClusterTest, ForwardsStreamToRegionWithServersWithoutExposingSecrets) {
  ASSERT_TRUE(WaitFor([&] {
    return this->Send(1, ModelRequest("desk-key", 1, false)).status == 200;
  }));
  const CallResult result = this->Send(1, ModelRequest("desk-key", 10, true));
  EXPECT_TRUE(result.complete);
  EXPECT_NE(result.body.find("\"t9 \""), std::string::npos);
  EXPECT_EQ(this->engine->Seen().find("desk-key"), std::string::npos);
  EXPECT_EQ(this->engine->Seen().find("Cluster-Secret"), std::string::npos);
}

TEST_F(ClusterTest, RefusesRequestsInRegionsOutsideResidencyRule) {
  const std::uint32_t before = this->engine->Started();
  const CallResult result = this->Send(2, ModelRequest("desk-key", 1, false));
  EXPECT_EQ(result.status, 403U);
  EXPECT_NE(result.body.find("residency"), std::string::npos);
  EXPECT_EQ(this->engine->Started(), before);
}

TEST_F(ClusterTest, KeyWithdrawalEndsStreamsOnOtherHosts) {
  const std::uint32_t before = this->engine->Started();
  auto stream = std::async(std::launch::async, [&] {
    return this->Send(0, ModelRequest("desk-key", 2'000, true));
  });
  ASSERT_TRUE(WaitFor([&] { return this->engine->Started() > before; }));
  this->hosts[2]->Operators().Withdraw(DigestKey("desk-key"));
  EXPECT_FALSE(stream.get().complete);
}

TEST_F(ClusterTest, OperationsAndSetsSurviveRestartOfAllHosts) {
  const CallResult first =
      this->Send(0, ServiceRequest("desk-key", "booking", "two-domes"));
  ASSERT_EQ(first.status, 200U);
  for (std::size_t i = 0; i < 3; ++i) {
    this->hosts[i].reset();
  }
  for (std::size_t i = 0; i < 3; ++i) {
    this->Start(i, false);
  }
  CallResult again;
  ASSERT_TRUE(WaitFor([&] {
    again = this->Send(0, ServiceRequest("desk-key", "booking", "two-domes"));
    return again.status == 200;
  }));
  EXPECT_EQ(again.body, first.body);
  EXPECT_EQ(this->service->Runs().at("two-domes"), 1U);
}

TEST_F(ClusterTest, HostsThatWereDrainedServeAgainAfterTheirStart) {
  ASSERT_TRUE(this->ServesAfterStart(1));
  this->DrainAndStop({1});
  this->Start(1, false);
  EXPECT_TRUE(this->ServesAfterStart(1));
  // The leader is one of the others, unless it was drained before.
  for (const std::size_t gone : {0U, 2U}) {
    this->DrainAndStop({1, gone});
    this->Start(1, false);
    if (gone == 2) {
      EXPECT_TRUE(this->ServesAfterStart(1));
    }
    this->Start(gone, false);
    EXPECT_TRUE(this->ServesAfterStart(1));
  }
  this->DrainAndStop({0, 1, 2});
  for (std::size_t i = 0; i < 3; ++i) {
    this->Start(i, false);
  }
  EXPECT_TRUE(this->ServesAfterStart(0));
  EXPECT_TRUE(this->ServesAfterStart(1));
}

// Guards against a loss of voters that on-call see only once no majority is
// left.
TEST_F(ClusterTest, OperatorsSeeThatNoFurtherVoterMayBeLost) {
  const std::string losses_left = "tamarackwing_voter_losses_left";
  ASSERT_TRUE(WaitFor([&] {
    const auto reported = this->Reported(losses_left);
    return reported.size() == 1 && reported.begin()->second == "1";
  }));
  const std::size_t leader = this->Reported(losses_left).begin()->first;
  const std::size_t lost = (leader + 1) % this->hosts.size();
  const std::size_t other = (leader + 2) % this->hosts.size();
  this->hosts[lost].reset();
  EXPECT_TRUE(WaitFor([&] {
    const auto reported = this->Reported(losses_left);
    return reported.size() == 1 && reported.begin()->second == "0";
  }));
  const auto lost_voters = this->Reported("tamarackwing_voters_lost");
  ASSERT_EQ(lost_voters.size(), 1U);
  EXPECT_EQ(lost_voters.begin()->second, "1");
  for (const auto& [host, voters] : this->Reported("tamarackwing_voters")) {
    EXPECT_EQ(voters, "3") << host;
  }
  std::promise<std::optional<control::StatusReply>> status;
  this->hosts[other]->Operators().Status(
      [&](std::optional<control::StatusReply> reply) {
        status.set_value(std::move(reply));
      });
  const std::optional<control::StatusReply> reply = status.get_future().get();
  ASSERT_TRUE(reply && reply->voter_health);
  ASSERT_EQ(reply->voter_health->lost.size(), 1U);
  EXPECT_EQ(reply->voter_health->lost.front().host,
            ClusterSettings(lost, kPort, "").gateway.host);
  EXPECT_EQ(reply->voter_health->losses_left, 0U);
}

TEST_F(ClusterTest, HostThatWasOrderedToDrainRefuses) {
  this->hosts[1]->Operators().Change(
      state::DrainHost{HostName("sohar-1"), true},
      [](const operators::OrderResult&) {});
  EXPECT_TRUE(WaitFor([&] {
    this->hosts[1]->Poll();
    return this->Send(1, ModelRequest("desk-key", 1, false))
               .body.find("draining") != std::string::npos;
  }));
}

}  // namespace
}  // namespace tamarackwing::tests
