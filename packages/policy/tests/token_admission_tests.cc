//! What all hosts together admit of a workspace, and how fast leases follow its
//! peak, while leaders change and hosts freeze.

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>

#include "tamarackwing/policy/rate_holder.h"
#include "tamarackwing/policy/rate_leases.h"
#include "tamarackwing/policy/token_inquiry.h"

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WorkspaceName kWorkspace("desk");
constexpr TokenCount kRate = 100'000;
constexpr TokenCount kBurst = 100'000;
constexpr TokenCount kTolerance = 72'000;
constexpr TokenCount kMostInWindow =
    (kRate * 8 + kBurst) * 11 / 10 + kTolerance;
constexpr milliseconds kStep{20};

RateLeaseOptions Options(unsigned static_percent) {
  RateLeaseOptions options;
  options.static_percent = static_percent;
  options.moves_known_leases = true;
  return options;
}

//! Three regions with two keepers and two entry hosts each, and a network that
//! loses, delays, repeats and reorders messages. The limits of the buckets are
//! those of the daemon (LeasedRateBudget). Reports reach only the leader of the
//! term in which they were sent, since a connection keeps their order.
class Fleet {
 public:
  //! One message in `fault_one_in` is lost, as many are late or repeated.
  Fleet(std::uint32_t seed, std::uint32_t fault_one_in)
      : random(seed), fault_one_in(fault_one_in) {
    for (std::size_t i = 0; i < kKeepers; ++i) {
      this->names.emplace_back("keeper-" + std::to_string(i));
      this->keepers.push_back({RateHolder(Options(0)), {}, 0, {}});
    }
    for (std::size_t i = 0; i < kEntryHosts; ++i) {
      this->own.emplace_back(Options(10));
    }
    this->ChangeLeader();
  }

  //! Runs for one step with requests of `demand` tokens per second at the entry
  //! hosts of `peak`, and a fifth of it in the other regions.
  void Step(std::size_t peak, TokenCount demand) {
    this->clock.Advance(kStep);
    const TimePoint now = this->clock.Now();
    this->Deliver();
    for (std::size_t i = 0; i < kKeepers; ++i) {
      Keeper& keeper = this->keepers[i];
      const bool is_due = now >= keeper.report_at;
      if (keeper.frozen_until > now ||
          (!is_due && !keeper.kept.NeedsEarlyReport(now))) {
        continue;
      }
      if (is_due && keeper.term != this->term && this->OneIn(2)) {
        keeper.term = this->term;
        keeper.kept.ForgetPendingReports();
      }
      this->Report(i, is_due);
    }
    for (std::size_t host = 0; host < kEntryHosts; ++host) {
      const TokenCount share = host / 2 == peak ? demand / 2 : demand / 10;
      TokenCount& unsent = this->unsent[host];
      unsent += share * kStep.count() / 1'000;
      while (unsent > 0) {
        const auto tokens =
            static_cast<TokenCount>(200 + this->random() % 3'000);
        unsent -= tokens;
        this->Request(host, tokens);
      }
    }
    for (auto& [number, pending] : this->inquiries) {
      this->Apply(number, pending.inquiry.Expire(now));
    }
    std::erase_if(this->inquiries, [&](const auto& entry) {
      return entry.second.inquiry.IsDone(now);
    });
  }

  void ChangeLeader() {
    this->term += 1;
    this->leases = RateLeases(Options(10));
    this->leases.StartTerm({this->names.begin(), this->names.end()},
                           this->clock.Now());
    this->leases.SetRate(kWorkspace, kRate);
  }
  void Freeze(std::size_t keeper, milliseconds time) {
    this->keepers[keeper].frozen_until = this->clock.Now() + time;
  }

  //! Returns the tokens admitted in the last 8 s.
  TokenCount InWindow() {
    while (!this->admitted.empty() &&
           this->clock.Now() - this->admitted.front().first > seconds(8)) {
      this->in_window -= this->admitted.front().second;
      this->admitted.pop_front();
    }
    return this->in_window;
  }
  //! Returns the sum of the leases that the keepers use.
  TokenCount Leased() {
    TokenCount sum = 0;
    for (Keeper& keeper : this->keepers) {
      sum +=
          keeper.kept.Take(kWorkspace, kLimit, 0, this->clock.Now(), true).rate;
    }
    return sum;
  }

  static constexpr std::size_t kKeepers = 6;

 private:
  static constexpr std::size_t kEntryHosts = 6;
  static constexpr TokenCount kTolerated = kMostInWindow - kRate * 8 - kBurst;
  static constexpr RateLimit kLimit{kRate, (kBurst + kTolerated / 2) / 2,
                                    kKeepers};
  static constexpr RateLimit kOwnLimit{kRate, kTolerated / 2, kEntryHosts};

  struct Keeper {
    RateHolder kept;
    TimePoint frozen_until;
    int term = 0;
    TimePoint report_at;
  };
  struct Pending {
    TokenInquiry inquiry;
    std::size_t host;
    TokenCount tokens;
  };

  bool OneIn(std::uint32_t n) { return this->random() % n == 0; }

  void Send(const std::function<void()>& message) {
    if (this->OneIn(this->fault_one_in)) {
      return;
    }
    const int copies = this->OneIn(this->fault_one_in) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const milliseconds delay(this->random() %
                               (this->OneIn(this->fault_one_in) ? 900 : 160));
      this->messages.emplace(this->clock.Now() + delay, message);
    }
  }
  //! Sends a message to a keeper, which handles it once it is not frozen.
  void SendToKeeper(std::size_t i, const std::function<void()>& message) {
    this->Send([this, i, message] {
      const TimePoint thaw = this->keepers[i].frozen_until;
      if (thaw > this->clock.Now()) {
        this->messages.emplace(thaw, message);
      } else {
        message();
      }
    });
  }
  void Deliver() {
    while (!this->messages.empty() &&
           this->messages.begin()->first <= this->clock.Now()) {
      const auto message = std::move(this->messages.begin()->second);
      this->messages.erase(this->messages.begin());
      message();
    }
  }

  void Report(std::size_t i, bool is_regular) {
    Keeper& keeper = this->keepers[i];
    const TimePoint now = this->clock.Now();
    const RateReport report = is_regular ? keeper.kept.MakeReport(now)
                                         : keeper.kept.MakeEarlyReport(now);
    if (is_regular) {
      keeper.report_at = now + milliseconds(300);
    }
    this->Send([this, i, report, sent_in = keeper.term] {
      if (sent_in != this->term) {
        return;
      }
      const RateGrant grant =
          this->leases.Grant(this->names[i], report, this->clock.Now());
      this->SendToKeeper(i, [this, i, grant] {
        this->keepers[i].kept.Accept(grant, this->clock.Now());
      });
    });
  }

  void Request(std::size_t host, TokenCount tokens) {
    const std::size_t region = host / 2;
    std::vector<HostName> others;
    for (std::size_t other = 0; other < 3; ++other) {
      if (other != region) {
        others.push_back(this->names[other * 2]);
      }
    }
    const std::uint64_t number = this->next_number++;
    TokenInquiry inquiry({this->names[region * 2], this->names[region * 2 + 1]},
                         [others] { return others; },
                         this->clock.Now() + milliseconds(400), {});
    auto& pending =
        this->inquiries
            .emplace(number, Pending{std::move(inquiry), host, tokens})
            .first->second;
    this->Apply(number, pending.inquiry.Start(this->clock.Now()));
  }

  void Apply(std::uint64_t number, const TokenInquiry::Step& step) {
    const Pending& pending = this->inquiries.at(number);
    const TokenCount tokens = pending.tokens;
    for (const HostName& name : step.ask) {
      const auto i = static_cast<std::size_t>(
          std::find(this->names.begin(), this->names.end(), name) -
          this->names.begin());
      const bool is_counted = pending.inquiry.IsCounted(name);
      this->SendToKeeper(i, [this, i, number, tokens, is_counted] {
        const RateDecision taken = this->keepers[i].kept.Take(
            kWorkspace, kLimit, tokens, this->clock.Now(), is_counted);
        this->Send([this, i, number, tokens, taken] {
          this->NoteReply(i, number, tokens, taken);
        });
      });
    }
    if (!step.decision) {
      return;
    }
    const bool is_granted =
        step.decision->verdict == TokenVerdict::kGranted ||
        (step.decision->verdict == TokenVerdict::kUseStaticShare &&
         this->own[pending.host]
             .Take(kWorkspace, kOwnLimit, tokens, this->clock.Now())
             .granted);
    if (is_granted) {
      this->admitted.emplace_back(this->clock.Now(), tokens);
      this->in_window += tokens;
    }
  }

  void NoteReply(std::size_t i,
                 std::uint64_t number,
                 TokenCount tokens,
                 const RateDecision& taken) {
    const auto pending = this->inquiries.find(number);
    if (pending == this->inquiries.end()) {
      return;
    }
    const auto step = pending->second.inquiry.NoteReply(
        this->names[i], {number, taken.granted, taken.retry_after, taken.rate},
        this->clock.Now());
    if (step.returns_tokens) {
      // Returns are not repeated: a connection delivers a message once.
      this->messages.emplace(this->clock.Now() + milliseconds(80),
                             [this, i, tokens] {
                               this->keepers[i].kept.Return(kWorkspace, tokens);
                             });
    }
    this->Apply(number, step);
  }

  ManualClock clock;
  std::mt19937 random;
  std::uint32_t fault_one_in;
  std::vector<HostName> names;
  std::vector<Keeper> keepers;
  std::vector<RateHolder> own;
  RateLeases leases{Options(10)};
  int term = 0;
  std::multimap<TimePoint, std::function<void()>> messages;
  std::map<std::uint64_t, Pending> inquiries;
  std::uint64_t next_number = 1;
  std::map<std::size_t, TokenCount> unsent;
  std::deque<std::pair<TimePoint, TokenCount>> admitted;
  TokenCount in_window = 0;
};

// Guards against rate that two keepers use at the same time, after a leader has
// moved it, and against tokens that are both used and returned.
RC_GTEST_PROP(TokenAdmissionProperty,
              NoWindowAndNoLeasesExceedTheRateWhateverFails,
              ()) {
  Fleet fleet(*rc::gen::arbitrary<std::uint32_t>(),
              *rc::gen::element<std::uint32_t>(5, 20, 1'000));
  const auto demand = *rc::gen::element<TokenCount>(40'000, 120'000, 400'000);
  for (int phase = 0; phase < 8; ++phase) {
    const auto peak = *rc::gen::inRange<std::size_t>(0, 3);
    if (*rc::gen::inRange(0, 3) == 0) {
      fleet.ChangeLeader();
    }
    if (*rc::gen::inRange(0, 3) == 0) {
      fleet.Freeze(*rc::gen::inRange<std::size_t>(0, Fleet::kKeepers),
                   milliseconds(*rc::gen::inRange(100, 6'000)));
    }
    const auto steps = *rc::gen::inRange(20, 250);
    for (int i = 0; i < steps; ++i) {
      fleet.Step(peak, demand);
      RC_ASSERT(fleet.InWindow() <= kMostInWindow);
      RC_ASSERT(fleet.Leased() <= kRate * 9 / 10);
    }
  }
}

//! The observed load: three regions' keepers, of which one is frozen when the
//! leader changes and the demand moves from muscat to sohar.
class MovedPeakTest : public testing::Test {
 protected:
  static constexpr RateLimit kLimit{kRate, kRate / 4, 3};

  //! Returns how many of the 300 requests of sohar in the second to fourth
  //! second after the change are refused.
  int Refusals(bool moves_known_leases) {
    RateLeaseOptions options;
    options.moves_known_leases = moves_known_leases;
    this->leases = RateLeases(options);
    this->leases.SetRate(kWorkspace, kRate);
    for (int i = 0; i < 300; ++i) {
      this->Step(600, 20, i, true, moves_known_leases);
    }
    this->leases.StartTerm(
        {HostName("muscat"), HostName("sohar"), HostName("frozen")},
        this->clock.Now());
    this->leases.SetRate(kWorkspace, kRate);
    this->muscat.ForgetPendingReports();
    this->sohar.ForgetPendingReports();
    int refusals = 0;
    for (int i = 0; i < 400; ++i) {
      const bool is_granted = this->Step(20, 600, i, false, moves_known_leases);
      refusals += i >= 100 && !is_granted ? 1 : 0;
    }
    return refusals;
  }

  bool Step(TokenCount muscat_tokens,
            TokenCount sohar_tokens,
            int step,
            bool is_third_running,
            bool reports_early) {
    this->clock.Advance(milliseconds(10));
    const TimePoint now = this->clock.Now();
    this->muscat.Take(kWorkspace, kLimit, muscat_tokens, now);
    const bool is_granted =
        this->sohar.Take(kWorkspace, kLimit, sohar_tokens, now).granted;
    if (is_third_running) {
      this->third.Take(kWorkspace, kLimit, 100, now);
    }
    const bool is_due = step % 30 == 0;
    this->Report("muscat", this->muscat, is_due, reports_early);
    this->Report("sohar", this->sohar, is_due, reports_early);
    if (is_third_running) {
      this->Report("frozen", this->third, is_due, reports_early);
    }
    return is_granted;
  }

  void Report(const char* name,
              RateHolder& holder,
              bool is_due,
              bool reports_early) {
    const TimePoint now = this->clock.Now();
    if (is_due) {
      holder.Accept(
          this->leases.Grant(HostName(name), holder.MakeReport(now), now), now);
    } else if (reports_early && holder.NeedsEarlyReport(now)) {
      holder.Accept(
          this->leases.Grant(HostName(name), holder.MakeEarlyReport(now), now),
          now);
    }
  }

  static RateLeaseOptions KeeperOptions() {
    RateLeaseOptions options;
    options.static_percent = 0;
    return options;
  }

  ManualClock clock;
  RateLeases leases{RateLeaseOptions()};
  RateHolder muscat{KeeperOptions()};
  RateHolder sohar{KeeperOptions()};
  RateHolder third{KeeperOptions()};
};

TEST_F(MovedPeakTest, WasRefusedWhileAHolderIsFrozen) {
  EXPECT_GT(this->Refusals(false), 100);
}

TEST_F(MovedPeakTest, IsGrantedFromTheLeasesThatAreKnown) {
  EXPECT_EQ(this->Refusals(true), 0);
}

class EarlyReportTest : public testing::Test {
 protected:
  static constexpr RateLimit kLimit{kRate, kRate, 3};

  void Grant(const RateReport& report, TokenCount share) {
    this->holder.Accept({report.number, {{kWorkspace, share}}},
                        this->clock.Now());
  }
  void Take(TokenCount tokens, bool is_counted = false) {
    this->holder.Take(kWorkspace, kLimit, tokens, this->clock.Now(),
                      is_counted);
  }
  bool IsDue() { return this->holder.NeedsEarlyReport(this->clock.Now()); }

  ManualClock clock;
  RateHolder holder{RateLeaseOptions()};
};

// Guards against the first 300 ms of a workspace without a lease.
TEST_F(EarlyReportTest, DemandWithoutALeaseIsReportedAtOnceButNotTooOften) {
  this->holder.MakeReport(this->clock.Now());
  this->Take(3'000);
  EXPECT_FALSE(this->IsDue());
  this->clock.Advance(milliseconds(50));
  EXPECT_TRUE(this->IsDue());
  const RateReport report = this->holder.MakeEarlyReport(this->clock.Now());
  EXPECT_EQ(report.demands.at(0).demand, 10'000);
  EXPECT_FALSE(this->IsDue());
  this->Grant(report, 13'000);
  this->clock.Advance(milliseconds(50));
  this->Take(100);
  EXPECT_FALSE(this->IsDue());
  this->Take(3'000);
  EXPECT_TRUE(this->IsDue());
}

// Guards against 20 reports a second about a workspace that is over its rate.
TEST_F(EarlyReportTest, GrantThatRaisesNothingEndsEarlyReports) {
  this->Take(3'000);
  this->Grant(this->holder.MakeReport(this->clock.Now()), 1'000);
  this->clock.Advance(milliseconds(50));
  this->Take(3'000);
  ASSERT_TRUE(this->IsDue());
  this->Grant(this->holder.MakeEarlyReport(this->clock.Now()), 1'000);
  this->clock.Advance(milliseconds(50));
  this->Take(3'000);
  EXPECT_FALSE(this->IsDue());
  this->clock.Advance(milliseconds(300));
  this->Take(3'000);
  EXPECT_TRUE(this->IsDue());
}

// Guards against leases that follow requests which another region counts.
TEST_F(EarlyReportTest, TokensCountedElsewhereAreNoDemand) {
  this->holder.MakeReport(this->clock.Now());
  this->clock.Advance(milliseconds(300));
  this->Take(9'000, true);
  EXPECT_FALSE(this->IsDue());
  EXPECT_EQ(this->holder.MakeReport(this->clock.Now()).demands.at(0).demand, 0);
}

}  // namespace
}  // namespace tamarackwing::policy
