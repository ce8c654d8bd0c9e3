#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <array>
#include <functional>
#include <iomanip>
#include <iostream>

#include "ledger_cluster.h"

namespace tamarackwing::state {
namespace {

using std::chrono::milliseconds;

TEST(OperationLedger, AnOperationIsGrantedOnceAndItsResponseReturnedToResends) {
  LedgerCluster cluster;
  const auto first = cluster.Request(0, "bk");
  cluster.RunUntilIdle();
  EXPECT_EQ(cluster.Verdict(first), PermitVerdict::kGranted);
  const auto second = cluster.Request(2, "bk");
  cluster.RunUntilIdle();
  EXPECT_EQ(cluster.Verdict(second), PermitVerdict::kInProgress);
  cluster.End(first, OperationState::kAnswered);
  cluster.RunUntilIdle();
  const auto third = cluster.Request(1, "bk");
  cluster.RunUntilIdle();
  EXPECT_EQ(cluster.Verdict(third), PermitVerdict::kAnswered);
}

TEST(OperationLedger, AnOperationReleasedUnusedIsGrantedAgain) {
  LedgerCluster cluster;
  const auto first = cluster.Request(0, "bk");
  cluster.RunUntilIdle();
  cluster.End(first, OperationState::kReleased);
  cluster.RunUntilIdle();
  const auto second = cluster.Request(2, "bk");
  cluster.RunUntilIdle();
  EXPECT_EQ(cluster.Verdict(second), PermitVerdict::kGranted);
  EXPECT_EQ(cluster.Grants("bk"), 1);
}

TEST(OperationLedger, TheOutcomeOfAFailedHolderIsUnknown) {
  LedgerCluster cluster;
  cluster.Request(2, "bk");
  cluster.RunUntilIdle();
  cluster.Crash(2);
  cluster.ChangeView();
  cluster.SendView(0);
  cluster.SendView(1);
  cluster.RunUntilIdle();
  const auto again = cluster.Request(1, "bk");
  cluster.RunUntilIdle();
  EXPECT_EQ(cluster.Verdict(again), PermitVerdict::kUnknown);
}

TEST(OperationLedger, GrantsOnlyAfterEveryMemberHoldsTheRecord) {
  LedgerCluster cluster;
  const auto request = cluster.Request(0, "bk");
  cluster.Deliver(0, false);
  cluster.Persist(0);
  EXPECT_FALSE(cluster.Verdict(request).has_value());
  cluster.RunUntilIdle();
  EXPECT_EQ(cluster.Verdict(request), PermitVerdict::kGranted);
}

//! Steps of an operation at which faults are injected.
enum class Step { kRequested, kStoring, kStored, kGranted, kAnswered, kSteps };

constexpr std::array kStepNames = {"requested", "storing", "stored", "granted",
                                   "answered"};

//! A fault, together with the view change that recovers from it.
struct Fault {
  const char* name;
  std::function<void(LedgerCluster&)> inject;
};

void ChangeViewEverywhere(LedgerCluster& cluster) {
  cluster.ChangeView();
  for (std::size_t host = 0; host < 3; ++host) {
    cluster.SendView(host);
  }
}

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> kFaults = {
      {"none", [](LedgerCluster&) {}},
      {"coordinator lost",
       [](LedgerCluster& cluster) {
         cluster.Crash(0);
         ChangeViewEverywhere(cluster);
       }},
      {"coordinator restarts",
       [](LedgerCluster& cluster) {
         cluster.Crash(0);
         cluster.Restart(0);
         ChangeViewEverywhere(cluster);
       }},
      {"member lost",
       [](LedgerCluster& cluster) {
         cluster.Crash(1);
         ChangeViewEverywhere(cluster);
       }},
      {"member without disk restarts",
       [](LedgerCluster& cluster) {
         cluster.Crash(2);
         cluster.Restart(2);
         ChangeViewEverywhere(cluster);
       }},
      {"requester lost",
       [](LedgerCluster& cluster) {
         cluster.Crash(2);
         ChangeViewEverywhere(cluster);
       }},
      {"second loss after repair",
       [](LedgerCluster& cluster) {
         cluster.Crash(0);
         ChangeViewEverywhere(cluster);
         cluster.RunUntilIdle();
         cluster.Restart(0);
         ChangeViewEverywhere(cluster);
         cluster.RunUntilIdle();
         cluster.Crash(1);
         ChangeViewEverywhere(cluster);
       }},
      {"view reaches old coordinator late",
       [](LedgerCluster& cluster) {
         cluster.ChangeView();
         cluster.SendView(1);
         cluster.SendView(2);
         cluster.RunUntilIdle();
         cluster.SendView(0);
       }},
      {"every message lost",
       [](LedgerCluster& cluster) {
         while (cluster.Pending() > 0) {
           cluster.Drop(0);
         }
       }},
      {"every message duplicated",
       [](LedgerCluster& cluster) {
         const std::size_t pending = cluster.Pending();
         for (std::size_t i = 0; i < pending; ++i) {
           cluster.Deliver(i, true);
         }
       }},
  };
  return kFaults;
}

//! Runs an operation up to a step and returns the number of its request.
std::uint64_t RunTo(LedgerCluster& cluster, Step step) {
  const auto number = cluster.Request(2, "bk");
  if (step == Step::kRequested) {
    return number;
  }
  cluster.Deliver(0, false);
  if (step == Step::kStoring) {
    return number;
  }
  cluster.Deliver(0, false);
  cluster.Deliver(0, false);
  cluster.Persist(0);
  cluster.Persist(1);
  if (step == Step::kStored) {
    return number;
  }
  cluster.RunUntilIdle();
  if (step == Step::kAnswered) {
    cluster.End(number, OperationState::kAnswered);
    cluster.Deliver(0, false);
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

//! Final verdicts on three requests, which are resent until they get a reply,
//! and the number of grants of the operation under test.
struct MatrixCell {
  std::optional<PermitVerdict> first;
  std::optional<PermitVerdict> resend;
  std::optional<PermitVerdict> other;
  int grants = 0;
};

MatrixCell RunCell(const Fault& fault, Step step) {
  LedgerCluster cluster;
  const auto first = RunTo(cluster, step);
  fault.inject(cluster);
  const auto resend_until_idle = [&](std::vector<std::uint64_t> requests) {
    for (int i = 0; i < 10; ++i) {
      for (const std::uint64_t request : requests) {
        cluster.Resend(request);
      }
      cluster.RunUntilIdle();
      cluster.Advance(milliseconds(300));
    }
  };
  resend_until_idle({first});
  const std::size_t caller = cluster.IsUp(1) ? 1 : 0;
  const auto resend = cluster.Request(caller, "bk");
  const auto other = cluster.Request(caller, "new");
  resend_until_idle({first, resend, other});
  return {cluster.Verdict(first), cluster.Verdict(resend),
          cluster.Verdict(other), cluster.Grants("bk")};
}

TEST(OperationLedger, FaultMatrixOfEveryFaultAtEveryStep) {
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
      EXPECT_LE(cell.grants, 1) << where;
      // A region that still has a host with a disk continues to grant permits.
      EXPECT_EQ(cell.other, PermitVerdict::kGranted) << where;
      EXPECT_TRUE(cell.resend.has_value()) << where;
      std::cout << std::setw(13) << NameOf(cell.resend);
    }
    std::cout << "\n";
  }
}

void RunAction(LedgerCluster& cluster,
               int action,
               std::size_t choice,
               int& request_count) {
  const std::size_t host = choice % 3;
  switch (action) {
    case 0:
      cluster.Crash(host);
      break;
    case 1:
      cluster.Restart(host);
      break;
    case 2:
      cluster.ChangeView();
      break;
    case 3:
    case 4:
    case 5:
      cluster.SendView(host);
      break;
    case 6:
    case 7:
      cluster.Request(host, std::to_string(choice % 4));
      request_count += 1;
      break;
    case 8:
      cluster.Resend(choice % static_cast<std::size_t>(request_count) + 1);
      break;
    case 9:
      cluster.End(choice % static_cast<std::size_t>(request_count) + 1,
                  choice % 2 == 0 ? OperationState::kReleased
                                  : OperationState::kAnswered);
      break;
    case 10:
      cluster.Drop(choice);
      break;
    case 11:
      cluster.Deliver(choice, true);
      break;
    case 12:
      cluster.Advance(milliseconds(250));
      break;
    case 13:
    case 14:
      cluster.Persist(host);
      break;
    default:
      cluster.Deliver(choice, false);
      break;
  }
}

RC_GTEST_PROP(OperationLedger, NoFaultLetsAnOperationBeGrantedTwice, ()) {
  LedgerCluster cluster;
  cluster.Request(0, "0");
  int request_count = 1;
  for (int i = 0; i < 300; ++i) {
    const int action = *rc::gen::inRange(0, 30);
    const auto choice = static_cast<std::size_t>(*rc::gen::inRange(0, 10'000));
    RunAction(cluster, action, choice, request_count);
    for (int operation = 0; operation < 4; ++operation) {
      RC_ASSERT(cluster.Grants(std::to_string(operation)) <= 1);
    }
  }
}

TEST(OperationLedger,
     TheCheckerDetectsRecordsAcknowledgedBeforeTheyAreWritten) {
  LedgerCluster cluster;
  cluster.confirms_too_early = true;
  const auto first = cluster.Request(1, "bk");
  while (cluster.Pending() > 0) {
    cluster.Deliver(0, false);
  }
  ASSERT_EQ(cluster.Verdict(first), PermitVerdict::kGranted);
  // All hosts lose power at once; only what is on disk remains.
  for (std::size_t host = 0; host < 3; ++host) {
    cluster.Crash(host);
  }
  cluster.confirms_too_early = false;
  cluster.Restart(0);
  cluster.Restart(1);
  ChangeViewEverywhere(cluster);
  cluster.RunUntilIdle();
  const auto again = cluster.Request(1, "bk");
  cluster.RunUntilIdle();
  EXPECT_EQ(cluster.Verdict(again), PermitVerdict::kGranted);
  EXPECT_EQ(cluster.Grants("bk"), 2);
}

}  // namespace
}  // namespace tamarackwing::state
