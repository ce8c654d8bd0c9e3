#include "tamarackwing/policy/link_health.h"

#include <gtest/gtest.h>

#include "tamarackwing/base/clock.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;

class LinkHealthTest : public testing::Test {
 protected:
  std::vector<BackendServerName> Due() {
    return this->health.ServersToProbe(this->known, this->clock.Now());
  }
  void Fail(const std::string& server) {
    this->health.NoteFailure(BackendServerName(server), this->clock.Now());
  }
  //! Lets all links fail until the host believes so.
  void LoseLinks() {
    this->Fail("a");
    this->Fail("b");
    for (const BackendServerName& server : this->Due()) {
      this->health.NoteProbeFailed(server);
    }
  }

  ManualClock clock;
  std::vector<BackendServerName> known = {
      BackendServerName("a"), BackendServerName("b"), BackendServerName("c"),
      BackendServerName("d"), BackendServerName("e"), BackendServerName("f")};
  LinkHealthLimits limits;
  LinkHealth health{limits};
};

TEST_F(LinkHealthTest, OneServerThatFailsOftenDoesNotMakeTheLinksSuspect) {
  for (int i = 0; i < 20; ++i) {
    this->Fail("a");
    this->clock.Advance(milliseconds(100));
    EXPECT_TRUE(this->Due().empty());
  }
  EXPECT_EQ(this->health.State(), LinkState::kUp);
}

TEST_F(LinkHealthTest, FailuresFarApartDoNotMakeTheLinksSuspect) {
  for (const char* server : {"a", "b", "c", "d", "e"}) {
    this->Fail(server);
    EXPECT_TRUE(this->Due().empty());
    this->clock.Advance(this->limits.window + milliseconds(1));
  }
}

TEST_F(LinkHealthTest, LinksAreDownOnceAllProbesOfARoundFailed) {
  this->Fail("a");
  this->Fail("b");
  const auto round = this->Due();
  ASSERT_EQ(round.size(), this->limits.round);
  EXPECT_TRUE(this->Due().empty());
  for (const BackendServerName& server : round) {
    EXPECT_EQ(this->health.State(), LinkState::kSuspect);
    this->health.NoteProbeFailed(server);
  }
  EXPECT_EQ(this->health.State(), LinkState::kDown);
  EXPECT_GE(this->health.FailedServers(), this->limits.round);
}

TEST_F(LinkHealthTest, OneProbeThatSucceedsClearsTheSuspicion) {
  this->Fail("a");
  this->Fail("b");
  const auto round = this->Due();
  this->health.NoteProbeFailed(round[0]);
  this->health.NoteConnected();
  for (const BackendServerName& server : round) {
    this->health.NoteProbeFailed(server);
  }
  EXPECT_EQ(this->health.State(), LinkState::kUp);
  EXPECT_TRUE(this->Due().empty());
}

TEST_F(LinkHealthTest, ProbesOfDownLinksAreFewAndReachAllServersInTurn) {
  this->LoseLinks();
  ASSERT_EQ(this->health.State(), LinkState::kDown);
  std::map<BackendServerName, int> probed;
  constexpr int kSeconds = 30;
  for (int ms = 0; ms < kSeconds * 1'000; ms += 50) {
    this->clock.Advance(milliseconds(50));
    this->Fail("a");
    for (const BackendServerName& server : this->Due()) {
      probed[server] += 1;
      this->health.NoteProbeFailed(server);
    }
  }
  EXPECT_EQ(probed.size(), this->known.size());
  int total = 0;
  for (const auto& [server, count] : probed) {
    total += count;
  }
  EXPECT_LE(total, kSeconds * 8);
  EXPECT_EQ(this->health.State(), LinkState::kDown);
  this->health.NoteConnected();
  EXPECT_EQ(this->health.State(), LinkState::kUp);
}

TEST_F(LinkHealthTest, NewServerIsProbedAtOnceWhileTheLinksAreDown) {
  this->health.NoteNewServer(BackendServerName("before"));
  this->LoseLinks();
  this->health.NoteNewServer(BackendServerName("new"));
  EXPECT_EQ(this->Due(),
            std::vector<BackendServerName>{BackendServerName("new")});
  EXPECT_TRUE(this->Due().empty());
}

TEST_F(LinkHealthTest, ConnectionsCountAsKeptForAMomentAfterTheLastBytes) {
  this->clock.Advance(std::chrono::seconds(10));
  EXPECT_FALSE(this->health.KeepsConnections(this->clock.Now()));
  this->health.NoteAlive(this->clock.Now());
  this->LoseLinks();
  EXPECT_TRUE(this->health.KeepsConnections(this->clock.Now()));
  this->clock.Advance(this->limits.kept_open + milliseconds(1));
  EXPECT_FALSE(this->health.KeepsConnections(this->clock.Now()));
}

TEST_F(LinkHealthTest, HostThatKnowsOneServerSuspectsItsLinksWhenThatFails) {
  this->known.resize(1);
  this->Fail("a");
  ASSERT_EQ(this->Due().size(), 1U);
  this->health.NoteProbeFailed(BackendServerName("a"));
  EXPECT_EQ(this->health.State(), LinkState::kDown);
}

TEST_F(LinkHealthTest, HostThatKnowsNoServerBelievesNothing) {
  this->LoseLinks();
  this->known.clear();
  EXPECT_TRUE(this->Due().empty());
  EXPECT_EQ(this->health.State(), LinkState::kUp);
}

}  // namespace
}  // namespace tamarackwing::policy
