#include "tamarackwing/control/ledger_client.h"

#include <gtest/gtest.h>

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
const RegionName kRegion("muscat");
const HostName kSelf("muscat-2");
const OperationId kOperation("two-domes");
constexpr std::uint64_t kIncarnation = 7;

class LedgerClientTest : public testing::Test {
 protected:
  std::uint64_t Request() {
    return this->client.Request(kRegion, kOperation, this->state, kStart,
                                this->sends);
  }
  //! Ends the operation as one that was not sent.
  void Release() {
    this->client.Update(kRegion, kOperation, state::OperationState::kReleased,
                        {}, this->state, kStart, this->sends);
  }

  state::ControlState state;
  std::vector<PeerSend> sends;
  LedgerClient client{kSelf, kIncarnation, milliseconds(200)};
};

TEST_F(LedgerClientTest, GrantIsForTheRequestThatItNames) {
  const std::uint64_t number = this->Request();
  EXPECT_TRUE(this->client.HandlePermit(
      {{kSelf, kIncarnation, number}, state::PermitVerdict::kGranted, {}},
      kStart));
  this->Release();
  EXPECT_EQ(this->client.OpenUpdates(), 1U);
  this->client.HandleUpdated({{kSelf, kIncarnation, number}});
  EXPECT_EQ(this->client.OpenUpdates(), 0U);
}

// Guards against an operation that runs without a permit, because a grant to an
// earlier process of the host had the same number.
TEST_F(LedgerClientTest, GrantToEarlierProcessIsNotTaken) {
  const std::uint64_t number = this->Request();
  EXPECT_FALSE(this->client.HandlePermit(
      {{kSelf, kIncarnation - 1, number}, state::PermitVerdict::kGranted, {}},
      kStart));
  this->Release();
  EXPECT_EQ(this->client.OpenUpdates(), 0U);
}

// Guards against an update that is no longer sent, because the ledger has
// acknowledged one of an earlier process.
TEST_F(LedgerClientTest, AcknowledgementOfEarlierProcessEndsNoUpdate) {
  const std::uint64_t number = this->Request();
  ASSERT_TRUE(this->client.HandlePermit(
      {{kSelf, kIncarnation, number}, state::PermitVerdict::kGranted, {}},
      kStart));
  this->Release();
  this->client.HandleUpdated({{kSelf, kIncarnation - 1, number}});
  EXPECT_EQ(this->client.OpenUpdates(), 1U);
}

}  // namespace
}  // namespace tamarackwing::control
