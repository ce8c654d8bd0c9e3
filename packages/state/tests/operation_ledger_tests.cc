#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <array>
#include <functional>
#include <iomanip>
#include <iostream>

#include "ledger_world.h"

namespace tamarackwing::state {
namespace {

using std::chrono::milliseconds;

TEST(OperationLedger, AnOperationIsGrantedOnceAndItsAnswerGivenAgain) {
  LedgerWorld world;
  const auto first = world.Ask(0, "bk");
  world.Settle();
  EXPECT_EQ(world.Verdict(first), PermitVerdict::kGranted);
  const auto second = world.Ask(2, "bk");
  world.Settle();
  EXPECT_EQ(world.Verdict(second), PermitVerdict::kInProgress);
  world.End(first, OperationState::kAnswered);
  world.Settle();
  const auto third = world.Ask(1, "bk");
  world.Settle();
  EXPECT_EQ(world.Verdict(third), PermitVerdict::kAnswered);
}

TEST(OperationLedger, AGrantGivenBackUnusedIsGrantedAgain) {
  LedgerWorld world;
  const auto first = world.Ask(0, "bk");
  world.Settle();
  world.End(first, OperationState::kReleased);
  world.Settle();
  const auto second = world.Ask(2, "bk");
  world.Settle();
  EXPECT_EQ(world.Verdict(second), PermitVerdict::kGranted);
  EXPECT_EQ(world.Sends("bk"), 1);
}

TEST(OperationLedger, TheOutcomeOfALostHolderIsUnknown) {
  LedgerWorld world;
  world.Ask(2, "bk");
  world.Settle();
  world.Crash(2);
  world.ChangeView();
  world.TellView(0);
  world.TellView(1);
  world.Settle();
  const auto again = world.Ask(1, "bk");
  world.Settle();
  EXPECT_EQ(world.Verdict(again), PermitVerdict::kUnknown);
}

TEST(OperationLedger, NothingIsGrantedUntilEveryMemberHoldsTheRecord) {
  LedgerWorld world;
  const auto ask = world.Ask(0, "bk");
  world.Deliver(0, false);
  world.Persist(0);
  EXPECT_FALSE(world.Verdict(ask).has_value());
  world.Settle();
  EXPECT_EQ(world.Verdict(ask), PermitVerdict::kGranted);
}

//! The steps of an operation, each of which a fault may hit.
enum class Step { kAsked, kStoring, kStored, kGranted, kAnswered, kSteps };

constexpr std::array kStepNames = {"asked", "storing", "stored", "granted",
                                   "answered"};

//! A fault, and how the region comes out of it.
struct Fault {
  const char* name;
  std::function<void(LedgerWorld&)> strike;
};

void ChangeViewEverywhere(LedgerWorld& world) {
  world.ChangeView();
  for (std::size_t host = 0; host < 3; ++host) {
    world.TellView(host);
  }
}

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> kFaults = {
      {"none", [](LedgerWorld&) {}},
      {"coordinator lost",
       [](LedgerWorld& world) {
         world.Crash(0);
         ChangeViewEverywhere(world);
       }},
      {"coordinator restarts",
       [](LedgerWorld& world) {
         world.Crash(0);
         world.Restart(0);
         ChangeViewEverywhere(world);
       }},
      {"member lost",
       [](LedgerWorld& world) {
         world.Crash(1);
         ChangeViewEverywhere(world);
       }},
      {"member without disk restarts",
       [](LedgerWorld& world) {
         world.Crash(2);
         world.Restart(2);
         ChangeViewEverywhere(world);
       }},
      {"asker lost",
       [](LedgerWorld& world) {
         world.Crash(2);
         ChangeViewEverywhere(world);
       }},
      {"second loss after repair",
       [](LedgerWorld& world) {
         world.Crash(0);
         ChangeViewEverywhere(world);
         world.Settle();
         world.Restart(0);
         ChangeViewEverywhere(world);
         world.Settle();
         world.Crash(1);
         ChangeViewEverywhere(world);
       }},
      {"old coordinator hears late of the view",
       [](LedgerWorld& world) {
         world.ChangeView();
         world.TellView(1);
         world.TellView(2);
         world.Settle();
         world.TellView(0);
       }},
      {"every message lost",
       [](LedgerWorld& world) {
         while (world.Pending() > 0) {
           world.Drop(0);
         }
       }},
      {"every message doubled",
       [](LedgerWorld& world) {
         const std::size_t pending = world.Pending();
         for (std::size_t i = 0; i < pending; ++i) {
           world.Deliver(i, true);
         }
       }},
  };
  return kFaults;
}

//! Takes an operation up to a step.
std::uint64_t RunTo(LedgerWorld& world, Step step) {
  const auto number = world.Ask(2, "bk");
  if (step == Step::kAsked) {
    return number;
  }
  world.Deliver(0, false);
  if (step == Step::kStoring) {
    return number;
  }
  world.Deliver(0, false);
  world.Deliver(0, false);
  world.Persist(0);
  world.Persist(1);
  if (step == Step::kStored) {
    return number;
  }
  world.Settle();
  if (step == Step::kAnswered) {
    world.End(number, OperationState::kAnswered);
    world.Deliver(0, false);
  }
  return number;
}

const char* NameOf(std::optional<PermitVerdict> verdict) {
  if (!verdict) {
    return "none";
  }
  switch (*verdict) {
    case PermitVerdict::kGranted:
      return "granted";
    case PermitVerdict::kInProgress:
      return "in progress";
    case PermitVerdict::kAnswered:
      return "answered";
    case PermitVerdict::kUnknown:
      return "unknown";
    case PermitVerdict::kUnavailable:
      return "unavailable";
    case PermitVerdict::kFull:
      return "full";
  }
  return "";
}

//! What askers that repeat themselves are told in the end.
struct MatrixCell {
  std::optional<PermitVerdict> first;
  std::optional<PermitVerdict> resend;
  std::optional<PermitVerdict> other;
  int sends = 0;
};

MatrixCell RunCell(const Fault& fault, Step step) {
  LedgerWorld world;
  const auto first = RunTo(world, step);
  fault.strike(world);
  const auto settle = [&](std::vector<std::uint64_t> asks) {
    for (int i = 0; i < 10; ++i) {
      for (const std::uint64_t ask : asks) {
        world.AskAgain(ask);
      }
      world.Settle();
      world.Advance(milliseconds(300));
    }
  };
  settle({first});
  const std::size_t caller = world.IsUp(1) ? 1 : 0;
  const auto resend = world.Ask(caller, "bk");
  const auto other = world.Ask(caller, "new");
  settle({first, resend, other});
  return {world.Verdict(first), world.Verdict(resend), world.Verdict(other),
          world.Sends("bk")};
}

TEST(OperationLedger, FaultMatrixEveryFaultAtEveryStep) {
  std::cout << std::left << std::setw(42) << "resend after fault, by step";
  for (const char* step : kStepNames) {
    std::cout << std::setw(13) << step;
  }
  std::cout << "\n";
  for (const Fault& fault : Faults()) {
    std::cout << std::setw(42) << fault.name;
    for (int s = 0; s < static_cast<int>(Step::kSteps); ++s) {
      const MatrixCell cell = RunCell(fault, static_cast<Step>(s));
      const std::string where =
          std::string(fault.name) + " at " + kStepNames[s];
      EXPECT_LE(cell.sends, 1) << where;
      // A region with a disk left goes on: nobody is refused for ever.
      EXPECT_EQ(cell.other, PermitVerdict::kGranted) << where;
      EXPECT_TRUE(cell.resend.has_value()) << where;
      std::cout << std::setw(13) << NameOf(cell.resend);
    }
    std::cout << "\n";
  }
}

void DoRandom(LedgerWorld& world, int action, std::size_t choice, int& asked) {
  const std::size_t host = choice % 3;
  switch (action) {
    case 0:
      world.Crash(host);
      break;
    case 1:
      world.Restart(host);
      break;
    case 2:
      world.ChangeView();
      break;
    case 3:
    case 4:
    case 5:
      world.TellView(host);
      break;
    case 6:
    case 7:
      world.Ask(host, std::to_string(choice % 4));
      asked += 1;
      break;
    case 8:
      world.AskAgain(choice % static_cast<std::size_t>(asked) + 1);
      break;
    case 9:
      world.End(choice % static_cast<std::size_t>(asked) + 1,
                choice % 2 == 0 ? OperationState::kReleased
                                : OperationState::kAnswered);
      break;
    case 10:
      world.Drop(choice);
      break;
    case 11:
      world.Deliver(choice, true);
      break;
    case 12:
      world.Advance(milliseconds(250));
      break;
    case 13:
    case 14:
      world.Persist(host);
      break;
    default:
      world.Deliver(choice, false);
      break;
  }
}

RC_GTEST_PROP(OperationLedger, NoFaultLetsAnOperationBeSentTwice, ()) {
  LedgerWorld world;
  world.Ask(0, "0");
  int asked = 1;
  for (int i = 0; i < 300; ++i) {
    const int action = *rc::gen::inRange(0, 30);
    const auto choice = static_cast<std::size_t>(*rc::gen::inRange(0, 10'000));
    DoRandom(world, action, choice, asked);
    for (int operation = 0; operation < 4; ++operation) {
      RC_ASSERT(world.Sends(std::to_string(operation)) <= 1);
    }
  }
}

TEST(OperationLedger, TheCheckerSeesRecordsConfirmedBeforeTheyAreWritten) {
  LedgerWorld world;
  world.confirms_too_early = true;
  const auto first = world.Ask(1, "bk");
  while (world.Pending() > 0) {
    world.Deliver(0, false);
  }
  ASSERT_EQ(world.Verdict(first), PermitVerdict::kGranted);
  // All hosts lose power at once: only what is on a disk remains.
  for (std::size_t host = 0; host < 3; ++host) {
    world.Crash(host);
  }
  world.confirms_too_early = false;
  world.Restart(0);
  world.Restart(1);
  ChangeViewEverywhere(world);
  world.Settle();
  const auto again = world.Ask(1, "bk");
  world.Settle();
  EXPECT_EQ(world.Verdict(again), PermitVerdict::kGranted);
  EXPECT_EQ(world.Sends("bk"), 2);
}

}  // namespace
}  // namespace tamarackwing::state
