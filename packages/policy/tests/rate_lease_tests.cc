#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "tamarackwing/policy/rate_holder.h"
#include "tamarackwing/policy/rate_leases.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WorkspaceName kWorkspace("desk");
constexpr TokenCount kRate = 100'000;

RateReport Report(std::uint64_t number,
                  TokenCount demand,
                  std::uint64_t holds = 0,
                  TokenCount held = 0) {
  return {number, holds, {{kWorkspace, demand, held}}};
}

class RateLeasesTest : public testing::Test {
 protected:
  RateLeasesTest() { this->leases.SetRate(kWorkspace, kRate); }

  TokenCount Grant(const std::string& host, const RateReport& report) {
    return this->leases.Grant(HostName(host), report, this->clock.Now())
        .shares.at(0)
        .share;
  }

  RateLeaseOptions options;
  RateLeases leases{RateLeaseOptions()};
  ManualClock clock;
};

TEST_F(RateLeasesTest, LeasesFollowDemandFromRegionToRegion) {
  // Muscat needs most of the rate at first, then Sohar does.
  TokenCount muscat = this->Grant("muscat", Report(1, 60'000));
  TokenCount sohar = this->Grant("sohar", Report(1, 2'000));
  std::uint64_t number = 1;
  for (int i = 0; i < 12; ++i) {
    this->clock.Advance(milliseconds(500));
    number += 1;
    muscat = this->Grant("muscat", Report(number, 2'000, number - 1, muscat));
    sohar = this->Grant("sohar", Report(number, 60'000, number - 1, sohar));
  }
  EXPECT_GE(sohar, 60'000);
  EXPECT_GE(muscat, 2'000);
}

TEST_F(RateLeasesTest, LeaseOfLostHostIsRegrantedOnlyAfterItExpires) {
  const TokenCount lost = this->Grant("lost", Report(1, 80'000));
  this->clock.Advance(this->options.life);
  EXPECT_LE(this->Grant("other", Report(1, 90'000)), 90'000 - lost);
  this->clock.Advance(this->options.drift + milliseconds(1));
  EXPECT_GE(this->Grant("other", Report(2, 90'000)), 85'000);
}

TEST_F(RateLeasesTest, NewLeaderGrantsHostsWhatTheyHold) {
  this->leases.StartTerm({HostName("muscat"), HostName("sohar")},
                         this->clock.Now());
  this->leases.SetRate(kWorkspace, kRate);
  EXPECT_EQ(this->Grant("muscat", Report(7, 60'000, 6, 40'000)), 40'000);
  EXPECT_EQ(this->Grant("sohar", Report(7, 60'000, 6, 0)), 0);
}

TEST_F(RateLeasesTest, NewLeaderGrantsMoreOnceAllHoldersHaveReported) {
  this->leases.StartTerm({HostName("muscat"), HostName("sohar")},
                         this->clock.Now());
  this->leases.SetRate(kWorkspace, kRate);
  EXPECT_EQ(this->Grant("muscat", Report(7, 60'000, 6, 40'000)), 40'000);
  EXPECT_EQ(this->Grant("muscat", Report(8, 60'000, 7, 40'000)), 40'000);
  EXPECT_LE(this->Grant("sohar", Report(7, 0, 6, 20'000)), 20'000);
  const TokenCount more = this->Grant("muscat", Report(9, 60'000, 8, 40'000));
  EXPECT_GT(more, 60'000);
  // Sohar may not have received its smaller lease.
  EXPECT_LE(more, kRate * 9 / 10 - 20'000);
}

TEST_F(RateLeasesTest, NewLeaderGrantsMoreOnceLeasesOfSilentHostsHaveExpired) {
  this->leases.StartTerm({HostName("muscat"), HostName("frozen")},
                         this->clock.Now());
  this->leases.SetRate(kWorkspace, kRate);
  this->clock.Advance(this->options.life);
  EXPECT_EQ(this->Grant("muscat", Report(7, 60'000, 6, 10'000)), 10'000);
  this->clock.Advance(this->options.drift + milliseconds(1));
  EXPECT_GT(this->Grant("muscat", Report(8, 60'000, 7, 10'000)), 60'000);
}

TEST_F(RateLeasesTest, LargeFleetIsGrantedTheWholeRateAndNoMore) {
  constexpr int kHosts = 291;
  std::vector<TokenCount> held(kHosts, 0);
  for (std::uint64_t round = 1; round <= 5; ++round) {
    for (int host = 0; host < kHosts; ++host) {
      // Each host has its own demand, and all of them together 1.5 times the
      // rate.
      const TokenCount demand = kRate * 3 * (host % 7) / (2 * 3 * kHosts);
      held[static_cast<std::size_t>(host)] =
          this->Grant("h" + std::to_string(host),
                      Report(round, demand, round - 1,
                             held[static_cast<std::size_t>(host)]));
      this->clock.Advance(milliseconds(3));
      EXPECT_LE(this->leases.Outstanding(kWorkspace, this->clock.Now()),
                kRate * 9 / 10);
    }
  }
  EXPECT_GE(this->leases.Outstanding(kWorkspace, this->clock.Now()),
            kRate * 85 / 100);
}

TEST_F(RateLeasesTest, WorkspaceWithoutRateGetsNothing) {
  const RateReport report{1, 0, {{WorkspaceName("nobody"), 5, 0}}};
  EXPECT_TRUE(this->leases.Grant(HostName("h"), report, this->clock.Now())
                  .shares.empty());
}

RC_GTEST_PROP(RateLeasesProperty,
              OutstandingLeasesNeverExceedTheLeasedRate,
              ()) {
  RateLeases leases{RateLeaseOptions()};
  leases.SetRate(kWorkspace, kRate);
  ManualClock clock;
  struct Host {
    std::uint64_t number = 0;
    std::uint64_t holds = 0;
    TokenCount held = 0;
  };
  std::vector<Host> hosts(4);
  const auto steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    const auto index = *rc::gen::inRange<std::size_t>(0, hosts.size());
    Host& host = hosts[index];
    const auto demand = *rc::gen::inRange<TokenCount>(0, 150'000);
    const RateGrant grant = leases.Grant(
        HostName(std::to_string(index)),
        {++host.number, host.holds, {{kWorkspace, demand, host.held}}},
        clock.Now());
    if (*rc::gen::arbitrary<bool>()) {
      host.holds = grant.number;
      host.held = grant.shares.at(0).share;
    }
    RC_ASSERT(leases.Outstanding(kWorkspace, clock.Now()) <= kRate * 9 / 10);
    clock.Advance(milliseconds(*rc::gen::inRange(0, 900)));
  }
}

class RateHolderTest : public testing::Test {
 protected:
  bool Take(TokenCount tokens) {
    return this->holder
        .Take(kWorkspace, {kRate, kRate, 4}, tokens, this->clock.Now())
        .granted;
  }

  ManualClock clock;
  RateHolder holder{RateLeaseOptions()};
};

TEST_F(RateHolderTest, PartitionedHostServesItsStaticShare) {
  TokenCount served = 0;
  for (int i = 0; i < 1'000; ++i) {
    served += this->Take(500) ? 500 : 0;
    this->clock.Advance(milliseconds(10));
  }
  const TokenCount static_rate = StaticRate(kRate, 4, RateLeaseOptions());
  // Ten seconds of its static rate, its share of the burst, and one request.
  EXPECT_LE(served, 10 * static_rate + kRate / 4 + 500);
  EXPECT_GE(served, 10 * static_rate);
}

TEST_F(RateHolderTest, FirstRequestsDoNotWaitForLease) {
  TokenCount served = 0;
  for (int i = 0; i < 10; ++i) {
    served += this->Take(3'000) ? 3'000 : 0;
  }
  EXPECT_GE(served, kRate / 4);
}

TEST_F(RateHolderTest, DebtOfLargeRequestIsRepaidBeforeTheNextOne) {
  EXPECT_TRUE(this->Take(60'000));
  EXPECT_FALSE(this->Take(1));
  const RateDecision refused =
      this->holder.Take(kWorkspace, {kRate, kRate, 4}, 1, this->clock.Now());
  this->clock.Advance(refused.retry_after + milliseconds(1));
  EXPECT_TRUE(this->Take(1));
}

TEST_F(RateHolderTest, DropsGrantWhoseLeaseHasExpired) {
  this->Take(10);
  const RateReport report = this->holder.MakeReport(this->clock.Now());
  this->clock.Advance(RateLeaseOptions().life);
  this->holder.Accept({report.number, {{kWorkspace, 50'000}}},
                      this->clock.Now());
  EXPECT_EQ(this->holder.MakeReport(this->clock.Now()).holds, 0U);
}

TEST_F(RateHolderTest, ServesLeasedRate) {
  this->Take(10);
  const RateReport report = this->holder.MakeReport(this->clock.Now());
  this->holder.Accept({report.number, {{kWorkspace, 50'000}}},
                      this->clock.Now());
  TokenCount served = 0;
  for (int i = 0; i < 200; ++i) {
    served += this->Take(500) ? 500 : 0;
    this->clock.Advance(milliseconds(10));
  }
  EXPECT_GE(served, 95'000);
}

}  // namespace
}  // namespace tamarackwing::policy
