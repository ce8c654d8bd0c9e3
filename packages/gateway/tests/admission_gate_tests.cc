#include "tamarackwing/gateway/admission_gate.h"

#include <gtest/gtest.h>

#include <vector>

namespace tamarackwing::gateway {
namespace {

constexpr const char* kTarget = "drafter@3";

class AdmissionGateTest : public testing::Test {
 protected:
  void Enter(std::uint64_t id,
             const char* workspace,
             TimePoint latest = TimePoint::max()) {
    this->gate.Enter(kTarget, {id, WorkspaceName(workspace), 1, 10, latest},
                     [this, id](Admission admission) {
                       this->woken.emplace_back(id, admission);
                     });
  }

  AdmissionGate gate{3};
  std::vector<std::pair<std::uint64_t, Admission>> woken;
};

TEST_F(AdmissionGateTest, StartsAsManyRequestsAsSlots) {
  this->gate.SetSlots(kTarget, 2);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    this->Enter(id, "a");
  }
  EXPECT_EQ(this->woken.size(), 2U);
  this->gate.Leave(kTarget, std::chrono::milliseconds(5));
  EXPECT_EQ(this->woken.size(), 3U);
}

TEST_F(AdmissionGateTest, AddedSlotsStartWaitingRequests) {
  this->Enter(1, "a");
  EXPECT_TRUE(this->woken.empty());
  this->gate.SetSlots(kTarget, 1);
  ASSERT_EQ(this->woken.size(), 1U);
  EXPECT_EQ(this->woken[0].second, Admission::kStart);
}

TEST_F(AdmissionGateTest, FullQueueRefusesWorkspaceWithMostWaiting) {
  for (std::uint64_t id = 1; id <= 4; ++id) {
    this->Enter(id, "a");
  }
  ASSERT_EQ(this->woken.size(), 1U);
  EXPECT_EQ(this->woken[0], std::pair(std::uint64_t{4}, Admission::kQueueFull));
  this->Enter(5, "b");
  ASSERT_EQ(this->woken.size(), 2U);
  EXPECT_EQ(this->woken[1], std::pair(std::uint64_t{3}, Admission::kQueueFull));
}

TEST_F(AdmissionGateTest, RequestThatCannotStartInTimeExpires) {
  const TimePoint latest{std::chrono::hours(1)};
  this->Enter(1, "a", latest);
  this->gate.Expire(latest);
  ASSERT_EQ(this->woken.size(), 1U);
  EXPECT_EQ(this->woken[0].second, Admission::kTooLate);
}

TEST_F(AdmissionGateTest,
       LongQueueOfOneWorkspaceDoesNotRaiseEstimateOfAnother) {
  this->gate.SetSlots(kTarget, 1);
  this->Enter(1, "a");
  this->gate.Leave(kTarget, std::chrono::milliseconds(100));
  this->Enter(2, "a");
  this->Enter(3, "a");
  this->Enter(4, "a");
  const Duration small = this->gate.EstimateWait(kTarget, WorkspaceName("b"));
  const Duration large = this->gate.EstimateWait(kTarget, WorkspaceName("a"));
  EXPECT_LT(small, large);
  EXPECT_EQ(this->gate.EstimateQueueWait(kTarget), large);
}

}  // namespace
}  // namespace tamarackwing::gateway
