#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <vector>

#include "tamarackwing/policy.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLife{1'000};
constexpr milliseconds kAllocatorLife{1'100};
constexpr TokenCount kRate = 1'000;
constexpr TokenCount kBurst = 1'200;
const WorkspaceName kWorkspace("desk");

TEST(TokenBucket, FillsAtItsRateUpToItsBurst) {
  ManualClock clock;
  TokenBucket bucket(kRate, kBurst, clock.Now());
  EXPECT_EQ(bucket.Take(1, clock.Now()), 0);
  clock.Advance(milliseconds(200));
  EXPECT_EQ(bucket.Level(clock.Now()), 200);
  clock.Advance(milliseconds(60'000));
  EXPECT_EQ(bucket.Level(clock.Now()), kBurst);
}

TEST(BudgetAllocator, RepeatedRequestIsGrantedOnce) {
  ManualClock clock;
  BudgetAllocator allocator(kAllocatorLife, clock.Now());
  allocator.SetShare(kWorkspace, kRate, kBurst, clock.Now());
  clock.Advance(milliseconds(5'000));
  const BudgetAllocator::ChunkId id{HostName("a"), 1, 1};
  const ChunkRequest request{1, kWorkspace, 100, 100};
  EXPECT_EQ(allocator.Grant(id, request, clock.Now()).tokens, 100);
  EXPECT_EQ(allocator.Grant(id, request, clock.Now()).tokens, 100);
  EXPECT_EQ(allocator.Outstanding(kWorkspace, clock.Now()), 100);
}

TEST(BudgetAllocator, RefusalReturnsTimeUntilTokensAreAvailable) {
  ManualClock clock;
  BudgetAllocator allocator(kAllocatorLife, clock.Now());
  allocator.SetShare(kWorkspace, kRate, kBurst, clock.Now());
  const auto grant = allocator.Grant({HostName("a"), 1, 1},
                                     {1, kWorkspace, 50, 50}, clock.Now());
  EXPECT_EQ(grant.tokens, 0);
  EXPECT_EQ(grant.retry_after, milliseconds(50));
}

TEST(BudgetAllocator, BucketRefillsFromTheExpiryOfAChunk) {
  ManualClock clock;
  BudgetAllocator allocator(kAllocatorLife, clock.Now());
  allocator.SetShare(kWorkspace, kRate, kBurst, clock.Now());
  clock.Advance(milliseconds(5'000));
  const BudgetAllocator::ChunkId id{HostName("a"), 1, 1};
  allocator.Grant(id, {1, kWorkspace, kBurst, kBurst}, clock.Now());
  clock.Advance(kAllocatorLife + milliseconds(500));
  EXPECT_EQ(allocator.Outstanding(kWorkspace, clock.Now()), 0);
  EXPECT_EQ(allocator.Level(kWorkspace, clock.Now()), 500);
}

TEST(BudgetAllocator, BucketFillsFromSinceEvenIfItsShareIsSetLater) {
  ManualClock clock;
  BudgetAllocator allocator(kAllocatorLife, clock.Now());
  clock.Advance(milliseconds(400));
  allocator.SetShare(kWorkspace, kRate, kBurst, clock.Now());
  EXPECT_EQ(allocator.Level(kWorkspace, clock.Now()), 400);
}

TEST(BudgetHolder, UnusedTokensCanBeReservedAgain) {
  ManualClock clock;
  BudgetHolder holder(kLife);
  holder.Add(kWorkspace, 1, 100, ChunkSource::kAllocator, clock.Now(),
             clock.Now());
  const auto reservation = holder.Reserve(kWorkspace, 100, clock.Now());
  ASSERT_TRUE(reservation.has_value());
  EXPECT_FALSE(holder.Reserve(kWorkspace, 1, clock.Now()).has_value());
  holder.Settle(kWorkspace, *reservation, 30, clock.Now());
  EXPECT_EQ(holder.Available(kWorkspace, clock.Now()), 70);
}

TEST(BudgetHolder, ChunkExpires) {
  ManualClock clock;
  BudgetHolder holder(kLife);
  holder.Add(kWorkspace, 1, 100, ChunkSource::kAllocator, clock.Now(),
             clock.Now());
  clock.Advance(kLife);
  EXPECT_EQ(holder.Available(kWorkspace, clock.Now()), 0);
  const TimePoint early = clock.Now() - kLife;
  holder.Add(kWorkspace, 2, 100, ChunkSource::kAllocator, early, clock.Now());
  EXPECT_EQ(holder.Available(kWorkspace, clock.Now()), 0);
}

struct Admitted {
  TimePoint at;
  TokenCount tokens;
};

//! Brute-force check that no time window has more admitted tokens than rate and
//! burst permit.
bool IsWithinBudget(const std::vector<Admitted>& admitted) {
  for (std::size_t from = 0; from < admitted.size(); ++from) {
    TokenCount sum = 0;
    for (std::size_t to = from; to < admitted.size(); ++to) {
      sum += admitted[to].tokens;
      const auto seconds =
          std::chrono::duration<double>(admitted[to].at - admitted[from].at);
      if (static_cast<double>(sum) > kBurst + kRate * seconds.count() + 1e-6) {
        return false;
      }
    }
  }
  return true;
}

//! Simulates an allocator and holders on a network that loses, delays and
//! duplicates messages.
class BudgetSimulation {
 public:
  explicit BudgetSimulation(milliseconds allocator_life)
      : allocator(allocator_life, clock.Now()) {
    this->allocator.SetShare(kWorkspace, kRate, kBurst, this->clock.Now());
    for (int i = 0; i < 3; ++i) {
      this->holders.emplace_back(kLife);
    }
  }

  void Step(int action, std::size_t choice) {
    const std::size_t h = choice % this->holders.size();
    const TimePoint now = this->clock.Now();
    switch (action) {
      case 0:
        this->clock.Advance(
            milliseconds(choice % 5 == 0 ? 2'000 : choice % 400));
        break;
      case 1:
      case 2:
        this->RequestChunk(h, static_cast<TokenCount>(choice % 600 + 1));
        break;
      case 3:
        this->DeliverGrant(choice, true);
        break;
      case 4:
      case 5:
        this->DeliverGrant(choice, false);
        break;
      case 6:
        this->Reserve(h, static_cast<TokenCount>(choice % 400 + 1));
        break;
      case 7:
        this->Reserve(h, std::max<TokenCount>(
                             1, this->holders[h].Available(kWorkspace, now)));
        break;
      case 8:
        this->SettleOne(choice);
        break;
      case 9:
        for (auto& [source, settled] : this->holders[h].TakeSettled(now)) {
          this->settles.emplace_back(h, settled);
        }
        break;
      case 10:
        this->DeliverSettle(choice);
        break;
      case 11:
        this->holders[h] = BudgetHolder(kLife);
        this->incarnations[h] += 1;
        std::erase_if(this->reservations,
                      [&](const Reservation& r) { return r.holder == h; });
        break;
      default:
        break;
    }
  }

  std::vector<Admitted> admitted;

 private:
  struct Grant {
    std::size_t holder;
    std::uint64_t incarnation;
    TimePoint requested;
    ChunkGrant grant;
  };
  struct Reservation {
    std::size_t holder;
    std::uint64_t id;
    std::size_t admitted;
  };

  void RequestChunk(std::size_t h, TokenCount tokens) {
    const ChunkRequest request{this->next_chunk++, kWorkspace, tokens,
                               2 * tokens};
    const auto grant = this->allocator.Grant(
        {HostName(std::to_string(h)), this->incarnations[h], request.chunk},
        request, this->clock.Now());
    this->grants.push_back(
        {h, this->incarnations[h], this->clock.Now(), grant});
  }

  void DeliverGrant(std::size_t choice, bool keep) {
    if (this->grants.empty()) {
      return;
    }
    const std::size_t at = choice % this->grants.size();
    const Grant grant = this->grants[at];
    if (!keep) {
      this->grants.erase(this->grants.begin() +
                         static_cast<std::ptrdiff_t>(at));
    }
    // A restarted holder does not receive grants for its former process.
    if (grant.incarnation == this->incarnations[grant.holder]) {
      this->holders[grant.holder].Add(
          kWorkspace, grant.grant.chunk, grant.grant.tokens,
          ChunkSource::kAllocator, grant.requested, this->clock.Now());
    }
  }

  void Reserve(std::size_t h, TokenCount tokens) {
    const auto id =
        this->holders[h].Reserve(kWorkspace, tokens, this->clock.Now());
    if (id) {
      this->reservations.push_back({h, *id, this->admitted.size()});
      this->admitted.push_back({this->clock.Now(), tokens});
    }
  }

  void SettleOne(std::size_t choice) {
    if (this->reservations.empty()) {
      return;
    }
    const std::size_t at = choice % this->reservations.size();
    const Reservation r = this->reservations[at];
    this->reservations.erase(this->reservations.begin() +
                             static_cast<std::ptrdiff_t>(at));
    const TokenCount used = static_cast<TokenCount>(choice) %
                            (this->admitted[r.admitted].tokens + 1);
    this->admitted[r.admitted].tokens = used;
    this->holders[r.holder].Settle(kWorkspace, r.id, used, this->clock.Now());
  }

  void DeliverSettle(std::size_t choice) {
    if (this->settles.empty()) {
      return;
    }
    const auto [h, settled] = this->settles[choice % this->settles.size()];
    this->allocator.Settle(
        {HostName(std::to_string(h)), this->incarnations[h], settled.chunk},
        settled, this->clock.Now());
  }

  ManualClock clock;
  BudgetAllocator allocator;
  std::vector<BudgetHolder> holders;
  std::map<std::size_t, std::uint64_t> incarnations;
  std::uint64_t next_chunk = 1;
  std::vector<Grant> grants;
  std::vector<Reservation> reservations;
  std::vector<std::pair<std::size_t, ChunkSettled>> settles;
};

std::vector<Admitted> RunBudget(milliseconds allocator_life, int steps) {
  BudgetSimulation simulation(allocator_life);
  for (int i = 0; i < steps; ++i) {
    const int action = *rc::gen::inRange(0, 12);
    const auto choice = static_cast<std::size_t>(*rc::gen::inRange(0, 100'000));
    simulation.Step(action, choice);
  }
  return simulation.admitted;
}

RC_GTEST_PROP(TokenBudget, NoWindowExceedsRateAndBurst, ()) {
  RC_ASSERT(IsWithinBudget(RunBudget(kAllocatorLife, 300)));
}

//! Simulates a holder that keeps a chunk of a complete burst until just before
//! it expires, spends it, and requests more at once.
std::vector<Admitted> HoardAndSpend(milliseconds allocator_life) {
  ManualClock clock;
  BudgetAllocator allocator(allocator_life, clock.Now());
  BudgetHolder holder(kLife);
  std::vector<Admitted> admitted;
  allocator.SetShare(kWorkspace, kRate, kBurst, clock.Now());
  clock.Advance(milliseconds(5'000));
  const auto request_chunk = [&](std::uint64_t chunk, TokenCount tokens) {
    const ChunkRequest request{chunk, kWorkspace, tokens, tokens};
    const auto grant =
        allocator.Grant({HostName("a"), 1, chunk}, request, clock.Now());
    holder.Add(kWorkspace, chunk, grant.tokens, ChunkSource::kAllocator,
               clock.Now(), clock.Now());
  };
  const auto spend = [&](TokenCount tokens) {
    if (holder.Reserve(kWorkspace, tokens, clock.Now())) {
      admitted.push_back({clock.Now(), tokens});
    }
  };
  request_chunk(1, kBurst);
  clock.Advance(milliseconds(900));
  spend(kBurst);
  request_chunk(2, 800);
  spend(800);
  return admitted;
}

TEST(TokenBudget, CheckDetectsAllocatorThatExpiresChunksTooEarly) {
  EXPECT_TRUE(IsWithinBudget(HoardAndSpend(kAllocatorLife)));
  EXPECT_FALSE(IsWithinBudget(HoardAndSpend(milliseconds(1))));
}

}  // namespace
}  // namespace tamarackwing::policy
